package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// withSetting adds a setting to the first block of a kind.
func withSetting(t *testing.T, text, kind, setting string) string {
	t.Helper()
	edited := strings.Replace(text, kind+" {", kind+" {\n  "+setting, 1)
	if edited == text {
		t.Fatalf("the example file has no block %s", kind)
	}
	return edited
}

// TestReloadAdoptsOrRefusesEachChange checks that each edit of the example file is adopted, or refused with its setting
// and reason, and that a file with both kinds of edits is refused completely.
func TestReloadAdoptsOrRefusesEachChange(t *testing.T) {
	file, err := os.ReadFile("../../examples/governor.hcl")
	if err != nil {
		t.Fatal(err)
	}
	example := string(file)
	dir := t.TempDir() // shared, because the state directory is relative to the file
	load := func(t *testing.T, text string) *Server {
		t.Helper()
		path := filepath.Join(dir, "server.hcl")
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		server, err := LoadServer(path)
		if err != nil {
			t.Fatal(err)
		}
		return server
	}
	fileWithJoins := withSetting(t, example, "channel", "joins = 7")
	fileWithIntake := withSetting(t, example, "channel", "intake = 77")
	old := load(t, example)
	for _, tt := range []struct {
		name, text            string
		wantChange, wantError string
	}{
		{"no change", example, "", ""},
		{"joins", fileWithJoins, "joins", ""},
		{"unsent bytes", withSetting(t, example, "channel", "unsent_all_bytes = 100000"), "unsent_all_bytes", ""},
		{"two settings", withSetting(t, fileWithIntake, "channel", "commands = 9"), "intake: 77, was 500", ""},
		{"pace", strings.Replace(example, "pace  = 3000", "pace = 77", 1), "", "pace: queued updates"},
		{"cold", withSetting(t, example, "rules", "cold = \"3s\""), "", "the balancer is created with these settings"},
		{
			"joins and cold", withSetting(t, fileWithJoins, "rules", "cold = \"3s\""), "",
			"the balancer is created with these settings",
		},
		{"zones", strings.Replace(example, "zones", "zones = [\"else\"]\n//", 1), "", "zones: zone and operation numbers"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			changed, err := Reload(old, load(t, tt.text))
			if (err != nil) != (tt.wantError != "") || err != nil && !strings.Contains(err.Error(), tt.wantError) {
				t.Errorf("want refusal %q, got error %v", tt.wantError, err)
			}
			all := strings.Join(changed, "; ")
			if !strings.Contains(all, tt.wantChange) || tt.wantChange == "" && all != "" {
				t.Errorf("want change %q, got %q", tt.wantChange, all)
			}
		})
	}
}

// TestReloadComparesEveryField checks that the reload rules cover every field of Server. Reload would ignore a change
// of a field without a rule.
func TestReloadComparesEveryField(t *testing.T) {
	serverType := reflect.TypeFor[Server]()
	for i := range serverType.NumField() {
		next := &Server{}
		setNonZero(reflect.ValueOf(next).Elem().Field(i))
		if changed, err := Reload(&Server{}, next); err == nil && len(changed) == 0 {
			t.Errorf("Reload does not detect a change of %s", serverType.Field(i).Name)
		}
	}
}

// setNonZero sets a value to something other than zero; in a struct it sets the last field.
func setNonZero(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		setNonZero(value.Field(value.NumField() - 1))
	case reflect.String:
		value.SetString("x")
	case reflect.Slice:
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
	case reflect.Float64:
		value.SetFloat(1)
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Uint8, reflect.Uint16, reflect.Uint64:
		value.SetUint(1)
	default:
		value.SetInt(1)
	}
}
