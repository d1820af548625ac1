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

// id returns a hash that differs from others in its upper bits and is in the same set of the table.
func id(number uint64) uint64 { return number<<ownerBits | 5 }

func TestProcessesShareIDs(t *testing.T) {
	dir := t.TempDir()
	one, other := openIDs(t, dir), openIDs(t, dir)
	one.Add(id(7))
	one.Add(id(7))
	if one.AddedByOther(id(7)) || !other.AddedByOther(id(7)) || other.AddedByOther(id(8)) {
		t.Error("an id is not known to the other process alone")
	}
	other.Remove(id(7)) // not its own
	if !other.AddedByOther(id(7)) {
		t.Error("a process removed another's id")
	}
	if one.Remove(id(7)); other.AddedByOther(id(7)) {
		t.Error("a removed id is known")
	}
	for i := range uint64(idWays + 1) { // one more than the set holds
		one.Add(id(i))
	}
	if other.AddedByOther(id(0)) || !other.AddedByOther(id(1)) || !other.AddedByOther(id(idWays)) {
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
				ids.Add(id(n*3 + uint64(i)))
				if ids.AddedByOther(id(n*3 + uint64(i))) {
					t.Error("an id counts as another process's")
					return
				}
				if n%2 == 0 {
					ids.Remove(id(n*3 + uint64(i)))
				}
			}
		})
	}
	all.Wait()
}
