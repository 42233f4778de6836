package config

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

const validPlatformFile = `{"name":"n3","listen":"10.0.0.4:3000","discovery":"10.2.0.1:8500","seed":"fe429af2f6dae94c",
"limits":{"cores":0.5,"memory_mb":48,"sockets":256},
"known":{"seq":41,"whole":true,"hosts":[{"host":"s-1","site":"govan","health":"ready","born_ms":0}]},
"settings":{"zones":["govan","maryhill"],"membership_mode":"subscribe",
"classes":[{"name":"recipe-read","on_time":500.0,"credit":1.0},{"name":"batch-log","on_time":750.0,"credit":3.0}],
"extra":{"admission":"ratio","default_size":6,"overhead":6.0,"pending_max":6400.0,"period":1000.0,"proxies":60,
"push_delay_max":555.0,"push_price":0.02,"reload_span":10000.0,"reloads_max":0,"slices":0,"smallest_conn_table":160.0},
"guarantees":{"cold":17000.0},"prices":{"cross_zone":0.08},"stats":{"fields":["cpu_share"],"how":"piggyback"}}}`

// loadPlatformText writes text to a file and loads it.
func loadPlatformText(t *testing.T, text string) (*Platform, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadPlatform(path)
}

func TestLoadPlatformReadsValidFile(t *testing.T) {
	platform, err := loadPlatformText(t, validPlatformFile)
	if err != nil {
		t.Fatal(err)
	}
	checkInstanceSettings(t, platform)
	balancer := platform.Balancer
	if balancer.Seed != 0xfe429af2f6dae94c || balancer.UtilizationField != 0 || balancer.ProxyCount != 60 ||
		balancer.QueueLimit != 6400 || balancer.Zones != 2 || !balancer.SubscriptionRequired {
		t.Fatalf("unexpected balancer configuration: %+v", balancer)
	}
}

// checkInstanceSettings asserts all values except the balancer's configuration.
func checkInstanceSettings(t *testing.T, platform *Platform) {
	t.Helper()
	if platform.Name != "n3" ||
		platform.ListenAddress != "10.0.0.4:3000" || platform.DiscoveryAddress != "10.2.0.1:8500" ||
		platform.MemoryLimit != 48<<20 || platform.SocketLimit != 256 || platform.MaxDeliveryDelay != 555*model.Millisecond {
		t.Fatalf("unexpected name, address, limit or delay: %+v", platform)
	}
	known := &platformmsg.EndpointList{
		Version:   41,
		Full:      true,
		Endpoints: []platformmsg.Endpoint{{Name: "s-1", Zone: "govan", Status: model.EndpointReady}},
	}
	if !reflect.DeepEqual(platform.Operations, []string{"recipe-read", "batch-log"}) ||
		!reflect.DeepEqual(platform.LoadReportFields, []string{"cpu_share"}) ||
		!reflect.DeepEqual(platform.InitialEndpoints, known) {
		t.Fatalf("unexpected operations, load report fields or endpoints: %+v", platform)
	}
}

// TestPlatformErrorsNameField checks that the error of an invalid file names the invalid field.
func TestPlatformErrorsNameField(t *testing.T) {
	for _, tt := range []struct {
		name, text, replacement string
		wantText, wantField     string
	}{
		{"listen is no address", `"10.0.0.4:3000"`, `"n3"`, "listen", "listen"},
		{"discovery port 0", `"10.2.0.1:8500"`, `"10.2.0.1:0"`, "discovery", "discovery"},
		{"seed is not hexadecimal", `"fe429af2f6dae94c"`, `"xyz"`, "seed", "seed"},
		{"too little memory", `"memory_mb":48`, `"memory_mb":0`, "limits", "limits"},
		{"too few sockets", `"sockets":256`, `"sockets":3`, "limits", "limits"},
		{"class without name", `"name":"batch-log",`, ``, "class 1", "settings"},
		{"no zones", `"zones":["govan","maryhill"]`, `"zones":[]`, "zones", "settings"},
		{"negative delay", `"push_delay_max":555.0`, `"push_delay_max":-1`, "push_delay_max", "settings"},
		{
			"delay of the wrong type", `"push_delay_max":555.0`, `"push_delay_max":"x"`,
			"push_delay_max", "settings.Extra.push_delay_max",
		},
		{"list without version", `"known":{"seq":41,`, `"known":{`, "known", "known"},
		{"name of the wrong type", `"name":"n3"`, `"name":3`, "Name", "Name"},
		{"unsupported slices", `"slices":0`, `"slices":4`, "slices", "settings"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loadPlatformText(t, strings.Replace(validPlatformFile, tt.text, tt.replacement, 1))
			if err == nil || !strings.Contains(err.Error(), tt.wantText) {
				t.Errorf("%s for %s: error %v does not name the field", tt.replacement, tt.text, err)
			}
			var fieldErr Error
			if !errors.As(err, &fieldErr) || fieldErr.Field != tt.wantField || filepath.Base(fieldErr.File) != "config.json" {
				t.Errorf("%s for %s: error %+v, want field %s", tt.replacement, tt.text, fieldErr, tt.wantField)
			}
		})
	}
	if _, err := loadPlatformText(t, "{"); err == nil {
		t.Error("LoadPlatform accepted an incomplete file")
	}
	if _, err := LoadPlatform(filepath.Join(t.TempDir(), "none")); err == nil {
		t.Error("LoadPlatform accepted a missing file")
	}
}
