package scenario

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
)

// benchDay is what is read of a day as the bench draws it (lbsim draw): times in microseconds.
type benchDay struct {
	Site, Kind string
	Length     float64
	Zones      []string
	Traffic    struct{ Load float64 }
	Clients    struct{ Retries int }
	Discovery  struct {
		Notice       float64
		SilentNotice float64 `json:"silent_notice"`
		Add          float64
	}
	DrainGrace   float64 `json:"drain_grace"`
	FallMultiple float64 `json:"fall_multiple"`
	FallFor      float64 `json:"fall_for"`
	Prices       struct {
		CrossZone float64 `json:"cross_zone"`
	}
	Classes []struct {
		Name, Effect, Group  string
		Share, Work, CV      float64
		Aim, Deadline, Worth float64
		Window               float64
	}
	Tiers []struct {
		Kinds []struct {
			Name         string
			Cores, Queue int
			Cold         float64
			ColdFrom     float64 `json:"cold_from"`
		}
		ReportFields   []string `json:"report_fields"`
		ReportPeriod   float64  `json:"report_period"`
		HandshakeWork  float64  `json:"handshake_work"`
		ConnCap        float64  `json:"conn_cap_per_core"`
		StatedColdFrom float64  `json:"stated_cold_from"`
		StatedCold     float64  `json:"stated_cold"`
	}
	Servers []struct {
		Zone  int
		Kind  int
		Speed float64
		Up    bool
	}
	Balancers []struct {
		Zone int
	}
	Troubles []struct {
		Kind        string
		At, Len     float64
		Size, Extra float64
		On          []int
		Which       int
	}
	Fam struct {
		Controllers  []int
		Backlog      float64
		Bare, Period float64
		Head         float64
		Rate, Intake float64
		MessagesMost int `json:"messages_most"`
		Standing     int
		Pick         string
		Ejects       int
		Eject        float64
		Redial       float64
		OrderPrice   float64 `json:"order_price"`
		TryAims      float64 `json:"try_aims"`
		UsualHow     int     `json:"usual_how"`
		Admit        string
	}
}

// stepOf says how a bench's trouble is played on sockets; "" where sockets cannot.
var stepOf = map[string]string{"vanish": "vanish", "slow": "slow", "neighbour": "neighbour", "report_late": "sums_late", "heavy_tail": "heavy_tail",
	"zone_loss": "zone_loss", "deploy": "deploy", "discovery_down": "list_down", "shared_slow": "shared_slow", "reconnect": "reconnect",
	"ageing": "ageing", "false_reports": "false_reports", "handshake_slow": "handshake_slow", "class_fail": "class_fail", "grow": "grow",
	"one_sided": "one_sided", "conn_squeeze": "conn_squeeze", "flapping": "flapping"}

// FromBench turns a day drawn by the bench into a script, with at most so many forwarders: fleet, load and queue shrink
// alike. What cannot be carried over is told in notes. The script's bays, draws and moments are not the bench's.
func FromBench(text []byte, forwardersMost int) (script []byte, notes []string, err error) {
	var b benchDay
	if err := json.Unmarshal(text, &b); err != nil {
		return nil, nil, fmt.Errorf("bench day: %w", err)
	}
	switch {
	case len(b.Tiers) != 1 || len(b.Tiers[0].Kinds) == 0 || len(b.Servers) == 0 || len(b.Balancers) == 0 || len(b.Zones) == 0 || len(b.Classes) == 0:
		return nil, nil, fmt.Errorf("bench day: one tier with kinds, servers, balancers, zones and classes are wanted")
	case b.Length <= 0 || b.Fam.Period <= 0 || b.Fam.Rate <= 0:
		return nil, nil, fmt.Errorf("bench day: length, report period and channel rate must be above 0")
	}
	zones := float64(len(b.Zones))
	scale := min(1, float64(max(forwardersMost, len(b.Zones)))/float64(len(b.Balancers)))
	whole := func(n float64) int { return max(1, int(n+0.5)) }
	forwarders := whole(float64(len(b.Balancers)) * scale / zones)
	up, speed, slowest, quickest, cores := 0, 0.0, 1e9, 0.0, 0.0
	for _, s := range b.Servers {
		if !s.Up || s.Kind < 0 || s.Kind >= len(b.Tiers[0].Kinds) {
			continue
		}
		up++
		speed += s.Speed
		cores += float64(b.Tiers[0].Kinds[s.Kind].Cores)
		slowest, quickest = min(slowest, s.Speed), max(quickest, s.Speed)
	}
	if up == 0 {
		return nil, nil, fmt.Errorf("bench day: no server runs at the start")
	}
	replicas := max(3, whole(float64(up)*scale/zones))
	// A fleet of fewer replicas each with the mean cores and speed: the load's share of capacity stays.
	shares, work := 0.0, 0.0
	for _, c := range b.Classes {
		shares += c.Share
		work += c.Share * c.Work
	}
	work /= max(shares, 1e-9)
	perReplica := max(1, whole(cores/float64(up)))
	rate := b.Traffic.Load * float64(replicas) * zones * float64(perReplica) * speed / float64(up) / work * 1e6
	kind, tier, fam := b.Tiers[0].Kinds[0], b.Tiers[0], b.Fam
	var out bytes.Buffer
	put := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	ms := func(us float64) string { return fmt.Sprintf("%q", fmt.Sprintf("%dms", int(us/1000+0.5))) }
	put("# A bench day of %s (%s), %d proxies and %d servers there, carried over at %.2f of its size.", b.Site, b.Kind, len(b.Balancers), up, scale)
	put("day %q {\n  about = \"from the bench: %s\"\n  length = %s", b.Site+"-bench", troubleNames(b), ms(b.Length))
	var homes []string
	for _, z := range fam.Controllers {
		if z >= 0 && z < len(b.Zones) {
			homes = append(homes, fmt.Sprintf("%q", b.Zones[z]))
		}
	}
	if len(homes) == 0 {
		homes = []string{fmt.Sprintf("%q", b.Zones[0])}
	}
	put("  governors = [%s]\n}\nzones = [%s]", strings.Join(homes, ", "), quoted(b.Zones))
	effects := map[string]string{"safe": "idempotent", "keyed": "fingerprinted", "unsafe": "side-effecting"}
	for _, c := range b.Classes {
		put("operation %q {\n  objective = %s\n  timeout = %s\n  billed_value = %g\n  effect = %q", c.Name, ms(c.Aim), ms(c.Deadline), c.Worth, effects[c.Effect])
		if c.Effect == "keyed" {
			put("  window = %s", ms(c.Window))
		}
		put("}")
	}
	report := ""
	for _, f := range tier.ReportFields {
		if f == "util" {
			report = "  load_report = [\"util\"]\n"
		}
	}
	admits := "none"
	if fam.Admit == "share" {
		admits = "share"
	}
	put("fleet {\n  forwarders = %d\n  standing = %d\n  connections_least = %d\n  avoids = %v\n  admits = %q\n  crossing_price = %g\n  order_price = %g\n%s  usual_way = %q\n  first_wait = %g\n}",
		forwarders*len(b.Zones), fam.Standing, whole(tier.ConnCap*float64(perReplica)), fam.Ejects > 0, admits, b.Prices.CrossZone, fam.OrderPrice, report,
		waysOf[min(max(fam.UsualHow, 0), 3)], max(fam.TryAims, 0.01))
	put("rules {\n  bare = %s\n  drain_grace = %s\n  cold = %s\n  cold_share = %g\n  tip_factor = %g\n  tip_span = %s\n}",
		ms(fam.Bare), ms(b.DrainGrace), ms(tier.StatedCold), tier.StatedColdFrom, b.FallMultiple, ms(b.FallFor))
	put("channel {\n  pace = %d\n  queue = %d\n  overhead = %d\n  period = %s\n  intake = %d\n  messages_most = %d\n}", whole(fam.Rate*scale),
		whole(fam.Backlog*scale), int(fam.Head), ms(fam.Period), whole(fam.Intake), fam.MessagesMost)
	put("replicas {\n  each_zone = %d\n  cores = %d\n  speed_from = %.3f\n  speed_to = %.3f\n  waiting = %d\n  connections = %d\n  cold_share = %.3f\n  cold_span = %s\n  report_every = %s\n  handshake = %s\n}",
		replicas, perReplica, slowest, quickest, kind.Queue, whole(tier.ConnCap*float64(perReplica)), kind.ColdFrom, ms(kind.Cold), ms(tier.ReportPeriod), ms(tier.HandshakeWork))
	picks := map[string]string{"two": "pair", "weighted": "lottery", "round": "wheel"}
	put("forwarders {\n  each_zone = %d\n  pick = %q\n  ejects = %d\n  eject_for = %s\n  redial = %s\n  client_tries = %d\n}", forwarders, picks[fam.Pick], fam.Ejects, ms(fam.Eject), ms(max(fam.Redial, 1000)), 1+b.Clients.Retries)
	put("list {\n  notice = %s\n  silent_notice = %s\n  add = %s\n}", ms(b.Discovery.Notice), ms(b.Discovery.SilentNotice), ms(b.Discovery.Add))
	put("load {\n  rate = %.1f", rate)
	for _, c := range b.Classes {
		put("  work %q {\n    share = %g\n    mean = %s\n    spread = %.2f\n  }", c.Name, c.Share, ms(c.Work), c.CV)
	}
	put("}")
	for _, t := range b.Troubles {
		count, name := len(b.Servers), stepOf[t.Kind]
		number, size, group, zone, silent := 1, t.Size, "", "", false
		switch t.Kind {
		case "balancer_crash", "balancer_roll", "balancer_stall":
			count, name = len(b.Balancers), "forwarder_"+strings.TrimPrefix(t.Kind, "balancer_")
			if len(t.On) > 0 && t.On[0] >= len(b.Balancers) { // controllers are numbered after the proxies
				count, name = len(fam.Controllers), "governor_"+strings.TrimPrefix(t.Kind, "balancer_")
			} else if t.Kind == "balancer_roll" {
				name = "forwarder_crash"
			}
			size = t.Len / 1e6
		case "report_late":
			size = t.Size / 1e6
			if size < 0.01 {
				size = t.Size
			}
		case "deploy":
			number, size = whole(t.Size*float64(replicas)*zones), t.Extra
			if size > 1000 {
				size /= 1e6
			}
		case "zone_loss":
			zone, silent = b.Zones[min(max(t.Which, 0), len(b.Zones)-1)], t.Extra > 0.5
		case "class_fail":
			group = b.Classes[min(max(t.Which, 0), len(b.Classes)-1)].Name
		case "conn_squeeze":
			number = max(1, min(1000, int(t.Size)))
		case "grow":
			number = whole(float64(len(t.On)) * scale / zones)
		}
		if name == "" {
			notes = append(notes, fmt.Sprintf("%s is left out: sockets do not play it", t.Kind))
			continue
		}
		part := 1.0
		if len(t.On) > 0 && count > 0 {
			part = min(1, float64(len(t.On))/float64(count))
		}
		put("step %q {\n  at = %s\n  lasts = %s\n  part = %.3f\n  size = %.3f\n  number = %d", name, ms(min(t.At, b.Length)), ms(t.Len), part, min(size, 1000), min(number, 1000))
		if zone != "" {
			put("  zone = %q\n  silent = %v", zone, silent)
		}
		if group != "" {
			put("  group = %q", group)
		}
		put("}")
	}
	if scale < 1 {
		notes = append(notes, fmt.Sprintf("the fleet is played at %.2f of its size, channel pace and queue with it", scale))
	}
	return out.Bytes(), notes, nil
}

var waysOf = []string{"never", "when-unrun", "any-failure", "two-more"}

func quoted(words []string) string {
	var all []string
	for _, w := range words {
		all = append(all, fmt.Sprintf("%q", w))
	}
	return strings.Join(all, ", ")
}

func troubleNames(b benchDay) string {
	var all []string
	for _, t := range b.Troubles {
		all = append(all, t.Kind)
	}
	return strings.Join(all, ", ")
}
