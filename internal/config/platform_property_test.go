package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/balancer"
	"peppervale/internal/model"
)

// discardingPublisher ignores all decisions of a balancer.
type discardingPublisher struct{}

func (discardingPublisher) SetWeight(model.TableID, model.ReplicaID, float64)                 {}
func (discardingPublisher) BindProxy(model.ProxyID, model.TableID, uint16, []model.ReplicaID) {}
func (discardingPublisher) SetWithdrawn(model.ReplicaID, bool)                                {}
func (discardingPublisher) SetQuota(uint16, float64, model.RetryPolicy)                       {}
func (discardingPublisher) RequestAck(uint32, bool, []model.ProxyID)                          {}
func (discardingPublisher) SetTimer(model.Microseconds)                                       {}
func (discardingPublisher) Subscribe()                                                        {}
func (discardingPublisher) Log(string)                                                        {}

// TestBalancerRunsOrErrorNamesFieldForAnySettings checks that for any settings either a balancer starts and runs for
// half a minute, or a one-line error names the invalid field. At least a quarter of the drawn settings must be valid.
func TestBalancerRunsOrErrorNamesFieldForAnySettings(t *testing.T) {
	drawnCount, validCount := 0, 0
	defer func() {
		if validCount*4 < drawnCount {
			t.Errorf("%d of %d settings were valid, want at least a quarter", validCount, drawnCount)
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		drawnCount++
		platform, err := parsePlatform("config.json", drawPlatformFile(t))
		if err != nil {
			text := err.Error()
			namesField := strings.Contains(text, "settings") || strings.Contains(text, "json:")
			if strings.Contains(text, "\n") || !namesField {
				t.Fatalf("error has several lines or names no field: %v", err)
			}
			return
		}
		validCount++
		runBalancer(t, platform)
	})
}

// drawNumber draws the typical value or, sometimes, an unusual one; nil omits the setting.
func drawNumber(t *rapid.T, name string, typical float64) any {
	unusualValues := []any{0.0, 1.0, 0.001, 1e9, nil, -1.0, 1e300, "x"}
	index := rapid.IntRange(0, 99).Draw(t, name) - 50 // draws are biased to the ends of the range
	if index >= 0 && index < len(unusualValues) {
		return unusualValues[index]
	}
	return typical
}

func drawPlatformFile(t *rapid.T) []byte {
	text, err := json.Marshal(map[string]any{
		"name":      "n",
		"listen":    "127.0.0.1:3000",
		"discovery": "127.0.0.2:3000",
		"seed":      "7",
		"settings":  drawSettings(t),
		"limits":    map[string]any{"memory_mb": 48, "sockets": 256},
	})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func drawSettings(t *rapid.T) map[string]any {
	classes := drawClasses(t)
	extra := drawExtra(t)
	loadReport := map[string]any{"how": "piggyback", "fields": []string{"busy_reqs", "cpu_share"}}
	return map[string]any{
		"zones":           []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "zones")],
		"classes":         classes,
		"extra":           extra,
		"membership_mode": rapid.SampledFrom([]any{"subscribe", "automatic", nil}).Draw(t, "mode"),
		"guarantees":      map[string]any{"cold": drawNumber(t, "cold", 17000)},
		"stats":           rapid.SampledFrom([]any{nil, loadReport, map[string]any{"how": "silent"}}).Draw(t, "stats"),
		"prices":          map[string]any{"cross_zone": drawNumber(t, "cross_zone", 0.08)},
	}
}

func drawClasses(t *rapid.T) []any {
	names := []string{"läsa bud", "a.b", "x", "", "書く"}
	var classes []any
	for i := range rapid.IntRange(1, 4).Draw(t, "classes") {
		classes = append(classes, map[string]any{
			"name":    rapid.SampledFrom(names).Draw(t, "name") + fmt.Sprint(i),
			"on_time": drawNumber(t, "on_time", 500),
			"credit":  drawNumber(t, "credit", 1),
			"effect":  "at_most_once",
		})
	}
	return classes
}

func drawExtra(t *rapid.T) map[string]any {
	ownZone := []any{nil, []bool{}, []bool{true}, []bool{false, true}}
	extra := map[string]any{
		"admission":      rapid.SampledFrom([]any{"ratio", "rps", "silent", "?", nil}).Draw(t, "admission"),
		"class_own_zone": rapid.SampledFrom(ownZone).Draw(t, "own zone"),
	}
	for _, number := range []struct {
		name    string
		typical float64
	}{
		{"default_size", 6},
		{"fails_to_eject", 0},
		{"period", 1000},
		{"overhead", 6},
		{"pending_max", 6000},
		{"reloads_max", 0},
		{"reload_span", 10000},
		{"slices", 0},
		{"push_price", 0.02},
		{"proxies", 20},
		{"smallest_conn_table", 150},
		{"push_delay_max", 500},
	} {
		if value := drawNumber(t, number.name, number.typical); value != nil {
			extra[number.name] = value
		}
	}
	return extra
}

// runBalancer runs a balancer for half a minute with proxies, load reports and an endpoint that drains.
func runBalancer(t *rapid.T, platform *Platform) {
	const (
		tickInterval      = 200 * model.Millisecond
		ticks             = 150
		ticksPerReport    = 5
		drainTick         = 100 // the first endpoint drains at this tick
		proxyCount        = 10
		attemptsPerReport = 5
		reportLatency     = 100 * model.Millisecond
	)
	testBalancer := balancer.New(platform.Balancer, discardingPublisher{}, model.Second)
	endpoints := drawEndpoints(t, len(platform.Zones))
	testBalancer.EndpointsChanged(model.Second, model.FullList, endpoints)
	for proxy := range model.ProxyID(proxyCount) {
		testBalancer.ProxyConnected(model.Second, proxy, int(proxy)%len(platform.Zones), float64(proxy))
	}
	for step := range model.Microseconds(ticks) {
		now := model.Second + step*tickInterval
		if step%ticksPerReport == 0 {
			for number, endpoint := range endpoints {
				testBalancer.LoadReported(now, model.LoadReport{
					Zone:        endpoint.Zone,
					Replica:     endpoint.ID,
					Attempts:    attemptsPerReport,
					Errors:      number % 2 * attemptsPerReport,
					MeanLatency: reportLatency,
					Window:      model.Second,
					Readings:    []float64{1, 1},
				})
			}
		}
		if step == drainTick && len(endpoints) > 0 {
			endpoints[0].Status = model.EndpointDraining
			testBalancer.EndpointsChanged(now, model.ChangedEntries, endpoints[:1])
		}
		testBalancer.TimerFired(now)
		testBalancer.Flush(now)
	}
}

// drawEndpoints draws ready endpoints in the zones of the settings. The last zone has no endpoints unless it is the
// only one.
func drawEndpoints(t *rapid.T, zoneCount int) []model.Endpoint {
	var endpoints []model.Endpoint
	for i := range rapid.IntRange(0, 12).Draw(t, "replicas") {
		endpoints = append(endpoints, model.Endpoint{
			ID:     model.ReplicaID{Addr: [4]byte{10, 0, 0, byte(i)}, Port: 1},
			Zone:   i % max(1, zoneCount-1),
			Status: model.EndpointReady,
		})
	}
	return endpoints
}
