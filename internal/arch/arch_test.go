// The standing terms: what decides touches nothing of the world, and the node
// stays lean.
package arch

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// decide lists the packages that decide or judge: no I/O, no clock, no
// goroutine, events in and actions out. A file behind a package's name is all
// that counts of it, where its other files put a model on sockets.
var decide = map[string]string{
	"balance":              "",
	"guard":                "",
	"fleet/version":        "",
	"fleet/follow":         "",
	"fleet/audit":          "",
	"fleet/steered":        "",
	"fleet/roster":         "",
	"fleet/shares":         "",
	"fleet/member":         "",
	"handoff":              "",
	"maintenance":          "",
	"membership":           "",
	"internal/decider":     "",
	"readings":             "",
	"steer":                "",
	"fleet/subset":         "",
	"internal/lab/judge":   "",
	"internal/lab/holds":   "",
	"internal/lab/clip":    "",
	"internal/lab/load":    "",
	"internal/lab/memory":  "",
	"internal/lab/hosts":   "registry.go",
	"internal/lab/history": "sort.go",
}

// worldly are imports that touch the world.
var worldly = []string{"os", "net", "io", "syscall", "log", "runtime", "context", "crypto/rand", "math/rand", "bufio"}

// clocks are what package time has beside its types.
var clocks = map[string]bool{"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
	"NewTimer": true, "NewTicker": true, "Tick": true}

// faults tells how a file breaks the terms.
func faults(fset *token.FileSet, f *ast.File) []string {
	var out []string
	for _, i := range f.Imports {
		path, _ := strconv.Unquote(i.Path.Value)
		for _, w := range worldly {
			if path == w || strings.HasPrefix(path, w+"/") && path != "math/rand/v2" && path != "net/netip" { // that one is values alone
				out = append(out, "imports "+path)
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			out = append(out, "starts a goroutine at "+fset.Position(n.Pos()).String())
		case *ast.SelectorExpr:
			if x, is := n.X.(*ast.Ident); is && x.Name == "time" && clocks[n.Sel.Name] {
				out = append(out, "reads a clock at "+fset.Position(n.Pos()).String())
			}
		}
		return true
	})
	return out
}

func TestWhatDecidesTouchesNothing(t *testing.T) {
	for dir, only := range decide {
		files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: no files, %v", dir, err)
		}
		for _, file := range files {
			if name := filepath.Base(file); strings.HasSuffix(name, "_test.go") || only != "" && name != only {
				continue
			}
			fset := token.NewFileSet()
			f, err := parser.ParseFile(fset, file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			for _, what := range faults(fset, f) {
				t.Errorf("%s %s", file, what)
			}
		}
	}
}

// The check itself must be able to fail.
func TestTheCheckSeesEachFault(t *testing.T) {
	const bad = `package x
import ("os"; "net/http"; "time"; "math/rand")
var _ = time.Now()
func f() { go f(); time.Sleep(1) }
`
	fset := token.NewFileSet()
	f, err := parser.ParseFile(fset, "x.go", bad, 0)
	if err != nil {
		t.Fatal(err)
	}
	if got := faults(fset, f); len(got) != 6 {
		t.Errorf("of 6 faults it sees %q", got)
	}
}

// The node's days have 32 MB: nothing heavy may be linked into it.
func TestTheNodeStaysLean(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "ivylock/cmd/ivylock").CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, dep := range strings.Fields(string(out)) {
		for _, heavy := range []string{"ivylock/internal/lab", "google.golang.org/", "envoyproxy", "ivylock/steer", "spf13/cobra", "gonum", "html/template", "text/template"} {
			if strings.Contains(dep, heavy) {
				t.Errorf("the node links %s", dep)
			}
		}
	}
}

// steady are the packages in which time is measured and not read off the wall: Unix time
// comes from internal/wallclock alone, but for times that others word.
var steady = []string{"internal/node", "internal/front", "internal/backend", "internal/discovery", "internal/handover", "internal/console",
	"internal/control", "internal/accept", "internal/durable", "internal/eventlog", "internal/invariant", "internal/xds", "cmd/ivylock", "cmd/ivylock-control"}

// wordedTimes are the files that turn another process's Unix time into the program's.
var wordedTimes = map[string]bool{"internal/node/servers.go": true, "internal/control/list.go": true}

func TestUnixTimeComesFromOnePlace(t *testing.T) {
	unix := map[string]bool{"Unix": true, "UnixMilli": true, "UnixMicro": true, "UnixNano": true}
	for _, dir := range steady {
		files, err := filepath.Glob(filepath.Join("..", "..", filepath.FromSlash(dir), "*.go"))
		if err != nil || len(files) == 0 {
			t.Fatalf("%s: %v, %v", dir, files, err)
		}
		for _, name := range files {
			if strings.HasSuffix(name, "_test.go") || wordedTimes[dir+"/"+filepath.Base(name)] {
				continue
			}
			fset := token.NewFileSet()
			f, err := parser.ParseFile(fset, name, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(f, func(n ast.Node) bool {
				if x, is := n.(*ast.SelectorExpr); is && unix[x.Sel.Name] {
					if id, is := x.X.(*ast.Ident); !is || id.Name != "time" { // time.Unix makes a time
						t.Errorf("%s reads the wall clock; take internal/wallclock", fset.Position(x.Pos()))
					}
				}
				return true
			})
		}
	}
}
