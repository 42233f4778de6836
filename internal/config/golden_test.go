package config

import (
	"reflect"
	"testing"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// goldenPlatform is what the golden platform's file means, with every field set.
var goldenPlatform = &Platform{
	Name: "n3", Listen: "10.0.0.4:3000", Discovery: "10.2.0.1:8500",
	Zones: []string{"govan", "partick"}, Operations: []string{"recipe-read", "batch-log"},
	LoadFields: []string{"busy_reqs", "cpu_share"}, Memory: 48 << 20, Sockets: 256, Carries: 555 * model.Millisecond,
	Terms: model.Terms{
		Seed: 0xfe429af2f6dae94c, Zones: 2, Subscribe: true, Admits: true, AdmitAll: 1, Avoids: true, StandingSize: 6,
		Operations: []model.Operation{{Objective: 500_000, Value: 1}, {Objective: 750_000, Value: 3}}, Period: 1_000_000,
		Overhead: 6, QueueMost: 6400, MessagesMost: 12, MessagesSpan: 10_000_000, CrossPrice: 0.08, PushPrice: 0.02,
		BusyField: 1, Cold: 17_000_000, Proxies: 60, ConnsLeast: 160, OwnZone: 2,
	},
	Known: &platformmsg.List{Version: 41, Whole: true, Entries: []platformmsg.Entry{
		{Host: "s-1", Site: "govan", Life: model.Ready, Since: 1_796_152_905_047_500}}},
}

func TestGoldenPlatformFile(t *testing.T) {
	got, err := OpenPlatform("testdata/golden/platform.json")
	if err != nil || !reflect.DeepEqual(got, goldenPlatform) {
		t.Errorf("read as %+v, %v", got, err)
	}
}
