package scenario

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"peppervale/internal/config"
)

func TestRepositoryScenariosParseWithoutErrors(t *testing.T) {
	for _, pattern := range []string{"*.hcl", "faulty/*.hcl"} {
		files, err := filepath.Glob(scenarioPath(pattern))
		if err != nil || len(files) == 0 {
			t.Fatal("no scenario files found: ", err)
		}
		for _, file := range files {
			t.Run(filepath.Base(file), func(t *testing.T) {
				script, err := Open(file)
				if err != nil || script.About == "" {
					t.Errorf("%s: error %v or no description", file, err)
				}
			})
		}
	}
}

func TestParseReportsEachMistake(t *testing.T) {
	valid, err := os.ReadFile(scenarioPath(zoneLossFile))
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct{ name, from, to, want string }{
		{"unknown kind of step", `"zone_loss"`, `"earthquake"`, `unknown kind "earthquake"; supported kinds are [ageing`},
		{"unknown zone", `zone  = "` + lostZone + `"`, `zone  = "leith"`, `"leith" is not one of the zones`},
		{"step after the end", `"12s"`, `"50s"`, "must not be later than the day's length"},
		{"instance in an unknown zone", `["govan", "` + lostZone + `"]`, `["leith"]`, `"leith" is not one of the zones`},
		{"missing base file", "lib/base.hcl", "lib/city.hcl", "no such file"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			text := strings.Replace(string(valid), tt.from, tt.to, 1)
			_, err := Parse(scenarioPath("x.hcl"), []byte(text))
			var mistakes config.Errors
			if !errors.As(err, &mistakes) || !strings.Contains(mistakes.Error(), tt.want) {
				t.Errorf("error %v, want it to contain %q", err, tt.want)
			}
		})
	}
}
