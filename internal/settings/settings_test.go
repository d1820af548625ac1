package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"ivylock/balance"
)

const validSettings = `{"accounts":[{"name":"a","quota_per_s":5,"fraction":0.5}],"balancers":3,"caps":{"cancel":true,
"connect_timeout_ns":250000000,"cpu_us_per_s":15000,"most_held":9,"conn_idle_ns":5,"max_attempts":4},
"classes":[{"aim_ns":600000000,"dedup_window_ns":8,"effect":"dedup","give_up_ns":1200000000,"importance":12.0,
"key_scope":"cell","name":"x"}],"membership_mode":"on_request","slot_no":2,"invariants":{"cold_from":0.3}}`

// fieldPaths lists the fields of the object, such as classes[].aim_ns.
func fieldPaths(t reflect.Type, at string) (out []string) {
	switch t.Kind() {
	case reflect.Struct:
		for i := range t.NumField() {
			out = append(out, fieldPaths(t.Field(i).Type, strings.Trim(at+"."+t.Field(i).Tag.Get("json"), "."))...)
		}
		return out
	case reflect.Slice:
		if t.Elem().Kind() == reflect.Struct {
			return fieldPaths(t.Elem(), at+"[]")
		}
	}
	return []string{at}
}

// documentedFields reads the table of docs/settings.md: the first two columns of each row that
// begins with a field.
func documentedFields(t *testing.T) map[string]string {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("..", "..", "docs", "settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, line := range strings.Split(string(raw), "\n") {
		if m := regexp.MustCompile("^\\| `([^`]+)` \\|(.*)$").FindStringSubmatch(line); m != nil {
			if _, twice := out[m[1]]; twice {
				t.Errorf("%s has two rows", m[1])
			}
			out[m[1]] = m[2]
		}
	}
	return out
}

// Guards against undocumented fields, and against documented ones that do not exist.
func TestEveryFieldIsDocumented(t *testing.T) {
	documentedFields, want := documentedFields(t), fieldPaths(reflect.TypeFor[rawSettings](), "")
	for _, f := range want {
		if _, has := documentedFields[f]; !has {
			t.Errorf("docs/settings.md has no row for %s", f)
		}
	}
	for f := range documentedFields {
		if !slices.Contains(want, f) && !strings.HasPrefix(f, "config.") {
			t.Errorf("docs/settings.md has a row for %s, which nothing decodes", f)
		}
	}
}

// decoderPackages write the settings: a read of a field there does not count as use.
var decoderPackages = []string{"ivylock/internal/settings"}

// Guards against a field that is decoded but read by nothing, unless the table says "not read" and
// why.
func TestUnreadFieldsAreDocumented(t *testing.T) {
	read, documentedFields := fieldsRead(t), documentedFields(t)
	base := decodeMap(t, nil)
	for _, field := range fieldPaths(reflect.TypeFor[rawSettings](), "") {
		var decodedTo []string
		for _, value := range []any{1e9, 0.5, 0, true, false, "x", "work", "live", "answers", "pushed", "fragile", "zone", []any{"x"}, 3} {
			decodedTo = append(decodedTo, differingFields(reflect.ValueOf(base), reflect.ValueOf(decodeMap(t, func(all map[string]any) { setPath(all, strings.Split(field, "."), value) })), "Settings")...)
		}
		if len(decodedTo) == 0 {
			t.Errorf("%s has no effect on the decoded settings", field)
			continue
		}
		used := slices.ContainsFunc(decodedTo, func(x string) bool { return read[x] })
		if documented := strings.Contains(documentedFields[field], "not read:"); used == documented {
			t.Errorf("%s (%s): read by a decision or the node: %v; the table says \"not read\": %v", field, decodedTo, used, documented)
		}
	}
}

func decodeMap(t *testing.T, change func(map[string]any)) balance.Settings {
	t.Helper()
	var all map[string]any
	if err := json.Unmarshal([]byte(validSettings), &all); err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(all)
	}
	raw, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	s, err := Decode(raw)
	if err != nil { // wrong type: use the original object
		return decodeMap(t, nil)
	}
	return s
}

func setPath(at map[string]any, path []string, value any) {
	key, list := strings.CutSuffix(path[0], "[]")
	if len(path) == 1 {
		at[key] = value
		return
	}
	if list {
		setPath(at[key].([]any)[0].(map[string]any), path[1:], value)
		return
	}
	if _, is := at[key].(map[string]any); !is {
		at[key] = map[string]any{}
	}
	setPath(at[key].(map[string]any), path[1:], value)
}

// differingFields lists the fields in which two values differ, as Type.Field.
func differingFields(a, b reflect.Value, name string) (out []string) {
	switch {
	case reflect.DeepEqual(a.Interface(), b.Interface()):
	case a.Kind() == reflect.Struct:
		for i := range a.NumField() {
			out = append(out, differingFields(a.Field(i), b.Field(i), a.Type().Name()+"."+a.Type().Field(i).Name)...)
		}
	case a.Kind() == reflect.Slice && a.Type().Elem().Kind() == reflect.Struct && a.Len() == b.Len():
		for i := range a.Len() {
			out = append(out, differingFields(a.Index(i), b.Index(i), name)...)
		}
	default:
		out = []string{name}
	}
	return out
}

// fieldsRead lists the fields of the settings' types that a package of the node or of its decisions
// reads, as Type.Field.
func fieldsRead(t *testing.T) map[string]bool {
	t.Helper()
	out, err := exec.Command("go", "list", "-export", "-deps", "-f", "{{.ImportPath}}\t{{.Export}}\t{{.Dir}}\t{{join .GoFiles \" \"}}", "../../cmd/ivylock", "../../cmd/benchlink").Output()
	if err != nil {
		t.Fatal(err)
	}
	exports, sources := map[string]string{}, map[string][]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(out)), "\n") {
		f := strings.Split(line, "\t")
		exports[f[0]] = f[1]
		if strings.HasPrefix(f[0], "ivylock/") && !slices.Contains(decoderPackages, f[0]) {
			for _, name := range strings.Fields(f[3]) {
				sources[f[0]] = append(sources[f[0]], filepath.Join(f[2], name))
			}
		}
	}
	read := map[string]bool{}
	for path, files := range sources {
		fset := token.NewFileSet()
		var parsed []*ast.File
		for _, file := range files {
			f, err := parser.ParseFile(fset, file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			parsed = append(parsed, f)
		}
		info := &types.Info{Selections: map[*ast.SelectorExpr]*types.Selection{}}
		conf := types.Config{Importer: importer.ForCompiler(fset, "gc", func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) })}
		if _, err := conf.Check(path, fset, parsed, info); err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		written := map[ast.Expr]bool{}
		for _, f := range parsed {
			ast.Inspect(f, func(n ast.Node) bool {
				if a, is := n.(*ast.AssignStmt); is && a.Tok == token.ASSIGN {
					for _, x := range a.Lhs {
						written[x] = true
					}
				}
				return true
			})
		}
		for x, s := range info.Selections {
			if v, is := s.Obj().(*types.Var); is && v.IsField() && v.Pkg() != nil && v.Pkg().Path() == "ivylock/balance" && !written[x] {
				read[ownerType(s)+"."+v.Name()] = true
			}
		}
	}
	return read
}

// ownerType returns the name of the type that declares a selected field.
func ownerType(selection *types.Selection) string {
	current := selection.Recv()
	for _, i := range selection.Index() {
		if pointer, is := current.(*types.Pointer); is {
			current = pointer.Elem()
		}
		structType, is := current.Underlying().(*types.Struct)
		if !is {
			return ""
		}
		if field := structType.Field(i); field == selection.Obj() {
			if named, is := current.(*types.Named); is {
				return named.Obj().Name()
			}
			return ""
		}
		current = structType.Field(i).Type()
	}
	return ""
}

// An invalid value is reported on one line with its field and a fix.
func TestErrorsNameField(t *testing.T) {
	if _, err := DecodeForNode([]byte(validSettings)); err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct{ from, to, field string }{
		"text for a number":       {`"balancers":3`, `"balancers":"3"`, "balancers"},
		"array for an object":     {`"caps":{`, `"caps":[1],"c":{`, "caps"},
		"no timeout":              {`"connect_timeout_ns":250000000`, `"connect_timeout_ns":0`, "caps.connect_timeout_ns"},
		"negative time":           {`"conn_idle_ns":5`, `"conn_idle_ns":-5`, "caps.conn_idle_ns"},
		"negative target latency": {`"aim_ns":600000000`, `"aim_ns":-1`, "classes[0].aim_ns"},
		"negative slot":           {`"slot_no":2`, `"slot_no":-2`, "slot_no"},
		"negative quota":          {`"quota_per_s":5`, `"quota_per_s":-5`, "accounts[0].quota_per_s"},
		"too large a number":      {`"balancers":3`, `"balancers":1e999`, "balancers"},
		"unknown effect":          {`"dedup"`, `"odd"`, "classes[0].effect"},
		"unknown scope":           {`"cell"`, `"galaxy"`, "classes[0].key_scope"},
		"no scope":                {`"key_scope":"cell",`, ``, "classes[0].key_scope"},
		"unknown mode":            {`"on_request"`, `"whispered"`, "membership_mode"},
		"no mode":                 {`"membership_mode":"on_request",`, ``, "membership_mode"},
		"a class twice":           {`"classes":[`, `"classes":[{"name":"x","effect":"retryable"},`, "classes[1].name"},
		"no classes":              {`"classes"`, `"c"`, "classes"},
		"no open requests":        {`"most_held":9`, `"most_held":0`, "caps.most_held"},
		"no JSON":                 {`"balancers":3`, `"balancers":`, ""},
	} {
		text := strings.Replace(validSettings, test.from, test.to, 1)
		if text == validSettings {
			t.Fatalf("%s: the text to replace was not found", name)
		}
		_, err := DecodeForNode([]byte(text))
		var e *Error
		if !errors.As(err, &e) || e.Field != test.field || strings.Contains(err.Error(), "\n") || e.Text == "" {
			t.Errorf("%s: want one line that names %q: %v", name, test.field, err)
		}
	}
}

// Zero and huge values, fractions, unknown values and unknown keys have their documented meaning.
func TestEdgeCases(t *testing.T) {
	for _, test := range []struct {
		path string
		v    any
		want func(balance.Settings) bool
	}{
		{"balancers", 0, func(s balance.Settings) bool { return s.Nodes == 3 }}, // at least slot_no+1
		{"balancers", 2, func(s balance.Settings) bool { return s.Nodes == 3 && s.Self == 2 }},
		{"caps.most_held", 1e30, func(s balance.Settings) bool { return s.MaxOpenRequests == 1<<31-1 }},
		{"caps.most_held", json.RawMessage("2e4"), func(s balance.Settings) bool { return s.MaxOpenRequests == 20000 }},
		{"caps.conn_idle_ns", json.RawMessage("6e10"), func(s balance.Settings) bool { return s.ConnIdleTimeout == time.Minute }},
		{"caps.conn_idle_ns", 1e300, func(s balance.Settings) bool {
			return s.ConnIdleTimeout > 0 && s.ConnIdleTimeout+time.Hour > s.ConnIdleTimeout
		}},
		{"classes[].give_up_ns", 0.4, func(s balance.Settings) bool { return s.Classes[0].Deadline == 0 }},
		{"invariants.cold_from", 7, func(s balance.Settings) bool { return s.WarmupStartFraction == 1 }},
		{"weight_kind", "odd", func(s balance.Settings) bool { return !s.SizeKnown && !s.SizeLive }},
		{"report.how", "odd", func(s balance.Settings) bool { return s.ReportSource == balance.NoReports }},
		{"membership_mode", "pushed", func(s balance.Settings) bool { return !s.ListOnDemand }},
		{"key_of_tomorrow", []any{1}, func(s balance.Settings) bool { return s.Nodes == 3 }},
	} {
		s := decodeMap(t, func(all map[string]any) { setPath(all, strings.Split(test.path, "."), test.v) })
		if !test.want(s) {
			t.Errorf("%s = %v: %+v", test.path, fmt.Sprint(test.v), s)
		}
	}
}

func FuzzDecodeForNode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := DecodeForNode(raw)
		var e *Error
		if err != nil && (!errors.As(err, &e) || strings.Contains(err.Error(), "\n")) {
			t.Fatalf("%q", err)
		}
		if err == nil && (s.Nodes < 1 || s.Self >= s.Nodes || s.ConnIdleTimeout <= 0 || s.MaxAttempts <= 0 || s.WarmupStartFraction > 1) {
			t.Fatalf("%+v", s)
		}
	})
}
