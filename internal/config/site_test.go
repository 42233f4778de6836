package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"peppervale/internal/model"
)

const good = `governor "govan-1" {
  listen = "127.0.0.1:7700"
  state  = "state"
}
zones = ["govan", "partick"]
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

func read(t *testing.T, text string) (*Server, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "g.hcl")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	return LoadServer(path)
}

func TestAGovernorsFile(t *testing.T) {
	g, err := read(t, good)
	if err != nil {
		t.Fatal(err)
	}
	if g.Name != "govan-1" || !filepath.IsAbs(g.State) || g.Balancer.QueueLimit != 6000 || g.Balancer.UtilizationField != 0 || g.Balancer.ReportPeriod != model.Second ||
		len(g.Operations) != 2 || g.Operations[1].Window != 1_200_000 || g.Balancer.Operations[1].PriorityWeight != 3 || g.Discovery.Wait != 10*time.Second {
		t.Fatalf("%+v", g)
	}
}

// Each fault is told with its place and its cure, all of a file at once.
func TestFaultsHavePlaceAndCure(t *testing.T) {
	for name, c := range map[string]struct{ from, to, place, cure string }{
		"an unknown block":       {"rules {", "rulez {", ":22:1", `no block "rulez" here; there are channel, console, fleet`},
		"an unknown setting":     {"forwarders  = 40", "forwarders  = 40\n  proxys = 1", ":20:3", `no setting "proxys" here; there are admits`},
		"a zone twice":           {`["govan", "partick"]`, `["govan", "govan"]`, ":5:9", `"govan" stands there twice`},
		"a time without a unit":  {`"500ms"`, `500`, ":7:15", `write "500ms" or "500s"`},
		"a time that is none":    {`"500ms"`, `"soon"`, ":7:15", `a time with its unit`},
		"an operation twice":     {`"batch-log"`, `"recipe-read"`, ":11:1", `"recipe-read" stands there twice`},
		"an effect that is none": {`"idempotent"`, `"safe"`, ":9:15", "none of idempotent, fingerprinted, side-effecting"},
		"a window left out":      {"  window       = \"1200ms\"\n", "", ":11:1", "window is missing"},
		"an objective too late":  {`"1200ms"`, `"100ms"`, ":8:15", "ends before the latency objective"},
		"an address of a name":   {`"127.0.0.1:7700"`, `"localhost"`, ":2:12", "as 127.0.0.1:7700"},
		"a list of another kind": {`"consul"`, `"zookeeper"`, ":28:1", "none of consul"},
		"a figure out of range":  {"forwarders  = 40", "forwarders  = 70000", ":19:17", "outside 1 to 65535"},
		"half a line":            {"forwarders  = 40", "forwarders  = 4.5", ":19:17", "a whole number"},
		"no HCL at all":          {"zones =", "zones", ":5:1", "use the equals sign"},
		"a reference":            {`"recipe"`, "var.name", ":30:13", "only plain values"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := read(t, strings.Replace(good, c.from, c.to, 1))
			var all Errors
			if !errors.As(err, &all) {
				t.Fatalf("taken: %v", err)
			}
			if text := err.Error(); !strings.Contains(text, c.place) || !strings.Contains(text, c.cure) {
				t.Fatalf("want %q and %q in\n%s", c.place, c.cure, text)
			}
		})
	}
	_, err := read(t, strings.NewReplacer(`"500ms"`, "500", "forwarders  = 40", "forwarders = 0").Replace(good))
	var all Errors
	if !errors.As(err, &all) || len(all) != 2 || all[0].Line > all[1].Line {
		t.Fatalf("two faults are told as %v", err)
	}
}

func TestAFileThatIsNotThere(t *testing.T) {
	if _, err := LoadServer("/nowhere/g.hcl"); err == nil || !strings.Contains(err.Error(), "/nowhere/g.hcl") {
		t.Fatal(err)
	}
}

func FuzzFiles(f *testing.F) {
	f.Add(good)
	f.Add("governor \"a\" { listen = [1, {}] }\noperation x y { }")
	f.Fuzz(func(t *testing.T, text string) {
		_, top := Parse("f.hcl", []byte(text))
		if top != nil {
			readGovernor(top, "/")
		}
	})
}
