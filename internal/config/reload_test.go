package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func reading(t *testing.T, dir, text string) *Server {
	t.Helper()
	path := filepath.Join(dir, "governor.hcl")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	g, err := LoadServer(path)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Each edit of the example's file either changes in service or is refused with its place and reason, and one of each in the same file
// is refused whole.
func TestReload(t *testing.T) {
	example, err := os.ReadFile("../../examples/governor.hcl")
	if err != nil {
		t.Fatal(err)
	}
	dir, text := t.TempDir(), string(example)
	edit := func(pairs ...string) string {
		for _, p := range pairs {
			block, line, _ := strings.Cut(p, "|")
			changed := strings.Replace(text, block+" {", block+" {\n  "+line, 1)
			if changed == text {
				t.Fatalf("no %s in the example", block)
			}
			text = changed
		}
		out := text
		text = string(example)
		return out
	}
	old := reading(t, dir, text)
	for _, c := range []struct {
		text, changed, refused string
	}{
		{text, "", ""},
		{edit("channel|joins = 7"), "joins", ""},
		{edit("channel|unsent_all_bytes = 100000"), "unsent_all_bytes", ""},
		{edit("channel|intake = 77", `channel|commands = 9`), "intake: 77, was 500", ""},
		{strings.Replace(text, "pace  = 3000", "pace = 77", 1), "", "pace: what waits"},
		{edit("rules|cold = \"3s\""), "", "the decisions start with it"},
		{edit("channel|joins = 7", "rules|cold = \"3s\""), "", "the decisions start with it"},
		{strings.Replace(text, "zones", "zones = [\"else\"]\n//", 1), "", "zones: its numbers"},
	} {
		changed, err := Reload(old, reading(t, dir, c.text))
		all := strings.Join(changed, "; ")
		if (err != nil) != (c.refused != "") || err != nil && !strings.Contains(err.Error(), c.refused) || !strings.Contains(all, c.changed) || c.changed == "" && all != "" {
			t.Errorf("want %q or %q, got %q, %v", c.changed, c.refused, all, err)
		}
	}
}

// Every part of a governor's file is compared: one that a later version adds and forgets here would change unseen.
func TestReloadComparesEverything(t *testing.T) {
	kind := reflect.TypeFor[Server]()
	for i := range kind.NumField() {
		next := &Server{}
		fill(reflect.ValueOf(next).Elem().Field(i))
		if changed, err := Reload(&Server{}, next); err == nil && len(changed) == 0 {
			t.Errorf("a change of %s is not seen", kind.Field(i).Name)
		}
	}
}

// fill puts something other than zero into the first plain value that it finds.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		fill(v.Field(v.NumField() - 1))
	case reflect.String:
		v.SetString("x")
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
	case reflect.Float64:
		v.SetFloat(1)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		v.SetUint(1)
	default:
		v.SetInt(1)
	}
}
