package config

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"peppervale/internal/model"
)

const validServerFile = `governor "govan-1" {
  listen = "127.0.0.1:7700"
  state  = "state"
}
zones = ["govan", "maryhill"]
operation "recipe-read" {
  objective = "500ms"
  timeout   = "1200ms"
  effect    = "idempotent"
}
operation "batch-log" {
  objective    = "750ms"
  timeout      = "2s"
  billed_value = 3
  effect       = "fingerprinted"
  window       = "1200ms"
}
fleet {
  forwarders  = 40
  load_report = ["util"]
}
rules {
}
channel {
  pace  = 3000
  queue = 6000
}
machine_list "consul" {
  address = "127.0.0.1:8500"
  service = "recipe"
}
`

// loadServerText writes text to a file and loads it.
func loadServerText(t *testing.T, text string) (*Server, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "server.hcl")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return LoadServer(path)
}

func TestLoadServerReadsValidFile(t *testing.T) {
	server, err := loadServerText(t, validServerFile)
	if err != nil {
		t.Fatal(err)
	}
	if server.Name != "govan-1" || !filepath.IsAbs(server.StateDir) || server.Discovery.Wait != 10*time.Second {
		t.Fatalf("unexpected name, state directory or discovery wait: %+v", server)
	}
	balancer := server.Balancer
	if balancer.QueueLimit != 6000 || balancer.UtilizationField != 0 || balancer.ReportPeriod != model.Second ||
		balancer.Operations[1].PriorityWeight != 3 {
		t.Fatalf("unexpected balancer configuration: %+v", balancer)
	}
	if len(server.Operations) != 2 || server.Operations[1].IdempotencyWindow != 1_200_000 {
		t.Fatalf("unexpected operations: %+v", server.Operations)
	}
}

// TestServerErrorsNamePositionAndAcceptedValues checks that each error has its position, its field, and the accepted
// values.
func TestServerErrorsNamePositionAndAcceptedValues(t *testing.T) {
	for _, tt := range []struct {
		name, text, replacement           string
		wantPosition, wantField, wantText string
	}{
		{
			"unknown block", "rules {", "rulez {",
			":22:1", "rulez", `unknown block "rulez"; supported here: channel, console, fleet`,
		},
		{
			"unknown setting", "forwarders  = 40", "forwarders  = 40\n  proxys = 1",
			":20:3", "proxys", `unknown setting "proxys"; supported here: admits`,
		},
		{"zone twice", `["govan", "maryhill"]`, `["govan", "govan"]`, ":5:9", "zones", `"govan" is listed twice; remove one`},
		{"duration without a unit", `"500ms"`, `500`, ":7:15", "objective", `write "500ms" or "500s"`},
		{"string that is not a duration", `"500ms"`, `"soon"`, ":7:15", "objective", `a duration with a unit`},
		{"operation twice", `"batch-log"`, `"recipe-read"`, ":11:1", "operation", `"recipe-read" is declared twice`},
		{
			"unknown effect", `"idempotent"`, `"safe"`,
			":9:15", "effect", "not one of idempotent, fingerprinted, side-effecting",
		},
		{"missing window", "  window       = \"1200ms\"\n", "", ":11:1", "window", "window is missing"},
		{"timeout too short", `"1200ms"`, `"100ms"`, ":8:15", "timeout", "must not be shorter than objective"},
		{"host name as an address", `"127.0.0.1:7700"`, `"localhost"`, ":2:12", "listen", "such as 127.0.0.1:7700"},
		{"unknown kind of discovery", `"consul"`, `"zookeeper"`, ":28:1", "machine_list", "only supported kind is consul"},
		{"number out of range", "forwarders  = 40", "forwarders  = 70000", ":19:17", "forwarders", "expected 1 to 65535"},
		{"fraction for an integer", "forwarders  = 40", "forwarders  = 4.5", ":19:17", "forwarders", "expected an integer"},
		{"invalid syntax", "zones =", "zones", ":5:1", "", "use the equals sign"},
		{"reference for a literal", `"recipe"`, "var.name", ":30:13", "service", "expected a literal value"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loadServerText(t, strings.Replace(validServerFile, tt.text, tt.replacement, 1))
			var errs Errors
			if !errors.As(err, &errs) {
				t.Fatalf("LoadServer returned %v, want Errors", err)
			}
			matches := func(e Error) bool {
				text := e.Error()
				return strings.Contains(text, tt.wantPosition) && strings.Contains(text, tt.wantText)
			}
			i := slices.IndexFunc(errs, matches)
			if i < 0 {
				t.Fatalf("no error with %q and %q in\n%s", tt.wantPosition, tt.wantText, err)
			}
			if errs[i].Field != tt.wantField {
				t.Fatalf("field %q, want %q", errs[i].Field, tt.wantField)
			}
		})
	}
}

// TestAllServerErrorsAreReported checks that all errors of a file are reported together and in file order.
func TestAllServerErrorsAreReported(t *testing.T) {
	edits := strings.NewReplacer(`"500ms"`, "500", "forwarders  = 40", "forwarders = 0")
	_, err := loadServerText(t, edits.Replace(validServerFile))
	var errs Errors
	if !errors.As(err, &errs) || len(errs) != 2 || errs[0].Line > errs[1].Line {
		t.Fatalf("LoadServer returned %v, want two errors in file order", err)
	}
}

func TestLoadServerFailsWhenFileIsMissing(t *testing.T) {
	_, err := LoadServer("/nowhere/server.hcl")
	if err == nil || !strings.Contains(err.Error(), "/nowhere/server.hcl") || !errors.Is(err, fs.ErrNotExist) {
		t.Fatal(err)
	}
}

func FuzzReadServer(f *testing.F) {
	f.Add(validServerFile)
	f.Add("governor \"a\" { listen = [1, {}] }\noperation x y { }")
	f.Fuzz(func(t *testing.T, text string) {
		_, top := Parse("fuzz.hcl", []byte(text))
		if top != nil {
			readServer(top, "/")
		}
	})
}
