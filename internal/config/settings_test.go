package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"peppervale/internal/balancer"
	"peppervale/internal/model"
)

// silent is a host that carries nothing out.
type silent struct{}

func (silent) SetWeight(model.TableID, model.ReplicaID, float64)                 {}
func (silent) BindProxy(model.ProxyID, model.TableID, uint16, []model.ReplicaID) {}
func (silent) SetWithdrawn(model.ReplicaID, bool)                                {}
func (silent) SetQuota(uint16, float64, model.RetryPolicy)                       {}
func (silent) RequestAck(uint32, bool)                                           {}
func (silent) SetTimer(model.Microseconds)                                       {}
func (silent) Subscribe()                                                        {}
func (silent) Log(string)                                                        {}

// Whatever settings a customer has, a governor starts on them and goes through half a minute, or says in one line which field it cannot use.
func TestAnySettings(t *testing.T) {
	all, started := 0, 0
	defer func() {
		if started*4 < all {
			t.Errorf("%d of %d started: the others were refused", started, all)
		}
	}()
	rapid.Check(t, func(t *rapid.T) {
		all++
		figure := func(name string, usual float64) any {
			odd := []any{0.0, 1.0, 0.001, 1e9, nil, -1.0, 1e300, "x"}
			if k := rapid.IntRange(0, 99).Draw(t, name); k >= 50 && k-50 < len(odd) { // draws lean to the ends
				return odd[k-50]
			}
			return usual
		}
		var classes []any
		for k := range rapid.IntRange(1, 4).Draw(t, "classes") {
			classes = append(classes, map[string]any{"name": rapid.SampledFrom([]string{"läsa bud", "a.b", "x", "", "書く"}).Draw(t, "name") + fmt.Sprint(k),
				"on_time": figure("on_time", 500), "credit": figure("credit", 1), "effect": "at_most_once"})
		}
		extra := map[string]any{"admission": rapid.SampledFrom([]any{"ratio", "rps", "silent", "?", nil}).Draw(t, "admission"),
			"class_own_zone": rapid.SampledFrom([]any{nil, []bool{}, []bool{true}, []bool{false, true}}).Draw(t, "own zone")}
		for name, usual := range map[string]float64{"default_size": 6, "fails_to_eject": 0, "period": 1000, "overhead": 6, "pending_max": 6000, "reloads_max": 0, "reload_span": 10000,
			"slices": 0, "push_price": 0.02, "proxies": 20, "smallest_conn_table": 150, "push_delay_max": 500} {
			if v := figure(name, usual); v != nil {
				extra[name] = v
			}
		}
		settings := map[string]any{"zones": []string{"a", "b", "c", "d", "e"}[:rapid.IntRange(1, 5).Draw(t, "zones")], "classes": classes, "extra": extra,
			"membership_mode": rapid.SampledFrom([]any{"subscribe", "automatic", nil}).Draw(t, "mode"), "guarantees": map[string]any{"cold": figure("cold", 17000)},
			"stats":  rapid.SampledFrom([]any{nil, map[string]any{"how": "piggyback", "fields": []string{"busy_reqs", "cpu_share"}}, map[string]any{"how": "silent"}}).Draw(t, "stats"),
			"prices": map[string]any{"cross_zone": figure("cross_zone", 0.08)}}
		text, _ := json.Marshal(map[string]any{"name": "n", "listen": "127.0.0.1:3000", "discovery": "127.0.0.2:3000", "seed": "7", "settings": settings,
			"limits": map[string]any{"memory_mb": 48, "sockets": 256}})
		p, err := readPlatform(text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") || !slices.ContainsFunc([]string{"settings", "json"}, func(w string) bool { return strings.Contains(err.Error(), w) }) {
				t.Fatalf("%v", err)
			}
			return
		}
		started++
		g := balancer.New(p.Balancer, silent{}, model.Second)
		var entries []model.Endpoint
		n := rapid.IntRange(0, 12).Draw(t, "replicas")
		for k := range n { // zones beyond the settings' are not listed; one may have none
			entries = append(entries, model.Endpoint{ID: model.ReplicaID{Addr: [4]byte{10, 0, 0, byte(k)}, Port: 1}, Zone: k % max(1, len(p.Zones)-1), Status: model.EndpointReady})
		}
		g.EndpointsChanged(model.Second, model.FullList, entries)
		for proxy := range model.ProxyID(10) {
			g.ProxyConnected(model.Second, proxy, int(proxy)%len(p.Zones), float64(proxy))
		}
		for beat := range model.Microseconds(150) {
			now := model.Second + beat*200*model.Millisecond
			if beat%5 == 0 {
				for k, e := range entries {
					g.LoadReported(now, model.LoadReport{Zone: e.Zone, Replica: e.ID, Attempts: 5, Errors: k % 2 * 5, MeanLatency: 100 * model.Millisecond, Window: model.Second, Readings: []float64{1, 1}})
				}
			}
			if beat == 100 && n > 0 {
				entries[0].Status = model.EndpointDraining
				g.EndpointsChanged(now, model.ChangedEntries, entries[:1])
			}
			g.TimerFired(now)
			g.Flush(now)
		}
	})
}
