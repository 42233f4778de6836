package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

const platformFile = `{"name":"n3","listen":"10.0.0.4:3000","discovery":"10.2.0.1:8500","seed":"fe429af2f6dae94c",
"limits":{"cores":0.5,"memory_mb":48,"sockets":256},"known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","site":"govan","health":"ready","born_ms":0}]},
"settings":{"zones":["govan","partick"],"membership_mode":"subscribe","classes":[{"name":"recipe-read","on_time":500.0,"credit":1.0},{"name":"batch-log","on_time":750.0,"credit":3.0}],
"extra":{"admission":"ratio","default_size":6,"overhead":6.0,"pending_max":6400.0,"period":1000.0,"proxies":60,"push_delay_max":555.0,"push_price":0.02,
"reload_span":10000.0,"reloads_max":0,"slices":0,"smallest_conn_table":160.0},"guarantees":{"cold":17000.0},"prices":{"cross_zone":0.08},
"stats":{"fields":["cpu_share"],"how":"piggyback"}}}`

func openPlatform(t *testing.T, text string) (*Platform, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadPlatform(path)
}

func TestThePlatformsFile(t *testing.T) {
	p, err := openPlatform(t, platformFile)
	if err != nil {
		t.Fatal(err)
	}
	known := &platformmsg.EndpointList{Version: 41, Full: true, Endpoints: []platformmsg.Endpoint{{Name: "s-1", Zone: "govan", Status: model.EndpointReady}}}
	if p.Name != "n3" || p.Listen != "10.0.0.4:3000" || p.Discovery != "10.2.0.1:8500" || p.Memory != 48<<20 || p.Sockets != 256 || p.MaxDeliveryDelay != 555*model.Millisecond ||
		!reflect.DeepEqual(p.Operations, []string{"recipe-read", "batch-log"}) || !reflect.DeepEqual(p.LoadFields, []string{"cpu_share"}) || !reflect.DeepEqual(p.Known, known) {
		t.Fatalf("%+v", p)
	}
	// The readings stand where the module looks for them.
	if x := p.Balancer; x.Seed != 0xfe429af2f6dae94c || x.UtilizationField != 0 || x.ProxyCount != 60 || x.QueueLimit != 6400 || x.Zones != 2 || !x.SubscriptionRequired {
		t.Fatalf("%+v", x)
	}
}

// A file that cannot be used is told by its field.
func TestFaultsOfThePlatformsFile(t *testing.T) {
	for _, c := range [][3]string{
		{`"10.0.0.4:3000"`, `"n3"`, "listen"}, {`"10.2.0.1:8500"`, `"10.2.0.1:0"`, "discovery"}, {`"fe429af2f6dae94c"`, `"xyz"`, "seed"},
		{`"memory_mb":48`, `"memory_mb":0`, "limits"}, {`"sockets":256`, `"sockets":3`, "limits"}, {`"name":"batch-log",`, ``, "class 1"},
		{`"zones":["govan","partick"]`, `"zones":[]`, "zones"}, {`"push_delay_max":555.0`, `"push_delay_max":-1`, "push_delay_max"},
		{`"known":{"seq":41,`, `"known":{`, "known"}, {`"name":"n3"`, `"name":3`, "Name"}, {`"slices":0`, `"slices":4`, "slices"},
	} {
		text := strings.Replace(platformFile, c[0], c[1], 1)
		if _, err := openPlatform(t, text); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Errorf("%s for %s: %v", c[1], c[0], err)
		}
	}
	if _, err := openPlatform(t, "{"); err == nil {
		t.Error("half a file is read")
	}
	if _, err := LoadPlatform(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("no file is read")
	}
}
