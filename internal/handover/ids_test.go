package handover

import (
	"sync"
	"testing"
)

// openIDs opens the ids of a new process of a node.
func openIDs(t *testing.T, dir string) *SharedIDs {
	t.Helper()
	shared, err := Open(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { shared.Close() })
	ids, err := shared.OpenIDs()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ids.Close() })
	return ids
}

func TestProcessesShareIDs(t *testing.T) {
	dir := t.TempDir()
	one, other := openIDs(t, dir), openIDs(t, dir)
	one.Add(7)
	one.Add(7)
	if one.AddedByOther(7) || !other.AddedByOther(7) || other.AddedByOther(8) {
		t.Error("an id is not known to the other process alone")
	}
	other.Remove(7) // not its own
	if !other.AddedByOther(7) {
		t.Error("a process removed another's id")
	}
	if one.Remove(7); other.AddedByOther(7) {
		t.Error("a removed id is known")
	}
	for i := range uint64(idWays + 1) { // one more than the set holds
		one.Add(5 + i*idSets)
	}
	if other.AddedByOther(5) || !other.AddedByOther(5+idSets) || !other.AddedByOther(5+idWays*idSets) {
		t.Error("not the oldest id of a full set was replaced")
	}
	var none *SharedIDs
	none.Add(1)
	none.Remove(1)
	if none.AddedByOther(1) || none.Close() != nil {
		t.Error("no table remembers an id")
	}
}

func TestProcessesShareIDsConcurrently(t *testing.T) {
	dir := t.TempDir()
	var all sync.WaitGroup
	tables := []*SharedIDs{openIDs(t, dir), openIDs(t, dir), openIDs(t, dir)}
	for i, ids := range tables {
		all.Go(func() {
			for n := range uint64(20_000) {
				ids.Add(n*3 + uint64(i))
				if ids.AddedByOther(n*3 + uint64(i)) {
					t.Error("an id counts as another process's")
					return
				}
				if n%2 == 0 {
					ids.Remove(n*3 + uint64(i))
				}
			}
		})
	}
	all.Wait()
}
