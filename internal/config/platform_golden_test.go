package config

import (
	"reflect"
	"testing"

	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// goldenPlatform is the expected content of the golden platform file, which sets every field.
var goldenPlatform = &Platform{
	Name:             "n3",
	ListenAddress:    "10.0.0.4:3000",
	DiscoveryAddress: "10.2.0.1:8500",
	Zones:            []string{"govan", "partick"},
	Operations:       []string{"recipe-read", "batch-log"},
	LoadReportFields: []string{"busy_reqs", "cpu_share"},
	MemoryLimit:      48 << 20,
	SocketLimit:      256,
	MaxDeliveryDelay: 555 * model.Millisecond,
	Balancer: model.Config{
		Seed:                 0xfe429af2f6dae94c,
		Zones:                2,
		SubscriptionRequired: true,
		AdmissionControl:     true,
		FullQuota:            1,
		ProxiesAvoidFailing:  true,
		StandingTableSize:    6,
		Operations: []model.Operation{
			{LatencyObjective: 500_000, PriorityWeight: 1},
			{LatencyObjective: 750_000, PriorityWeight: 3},
		},
		ReportPeriod:          1_000_000,
		MessageOverhead:       6,
		QueueLimit:            6400,
		MessageLimit:          12,
		MessageWindow:         10_000_000,
		CrossZoneCost:         0.08,
		PublishCost:           0.02,
		UtilizationField:      1,
		WarmUpPeriod:          17_000_000,
		ProxyCount:            60,
		MinReplicaConnections: 160,
		ZoneLocalOperations:   2,
	},
	InitialEndpoints: &platformmsg.EndpointList{
		Version: 41,
		Full:    true,
		Endpoints: []platformmsg.Endpoint{
			{Name: "s-1", Zone: "govan", Status: model.EndpointReady, StartedAt: 1_796_152_905_047_500},
		},
	},
}

func TestLoadPlatformReadsEveryField(t *testing.T) {
	got, err := LoadPlatform("testdata/golden/platform.json")
	if err != nil || !reflect.DeepEqual(got, goldenPlatform) {
		t.Errorf("LoadPlatform returned %+v, %v; want the golden configuration", got, err)
	}
}
