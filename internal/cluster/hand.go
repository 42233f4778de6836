package cluster

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/model"
)

// Handover is what a holder tells the next one of parts that it gives away: what it has learnt and not what is to be done. An unplanned
// takeover has none.
type Handover struct {
	From           string             `cbor:"From"`
	Shards         []int              `cbor:"Parts"`
	LoadReports    []model.LoadReport `cbor:"Sums"`           // the newest of each replica and zone
	Withdrawn      []string           `cbor:"Withdrawn"`      // replicas, by address
	UnackedEntries int                `cbor:"Unacknowledged"` // lines that forwarders have not acknowledged
}

// handMost bounds a handover, in sums: a list of 2,000 replicas in eight zones.
const handMost = 16_384

// HandoverHooks is what a member tells and takes at planned moves. Nil members don't.
type HandoverHooks struct {
	Export func() Handover
	Import func(Handover)
}

// handOver tells each member that is to hold the parts of a Release what this one knows of them. It is a help, not a condition: the
// Release leaves whether or not it arrived.
func (g *Cluster) handOver(c *Command, within time.Duration) {
	if g.line.Handover.Export == nil {
		return
	}
	to := map[string][]int{}
	g.mu.Lock()
	for _, a := range c.Requests {
		if p := g.member.reg.part(a.Shard); p != nil {
			if m := g.member.reg.Member(p.Target); m != nil && m.Name != g.line.Name {
				to[m.Name] = append(to[m.Name], a.Shard)
			}
		}
	}
	requests := map[string]string{}
	for name := range to {
		requests[name] = g.line.address(name, g.member.reg.Member(name).Record.RequestAddress)
	}
	g.mu.Unlock()
	for name, parts := range to {
		h := g.line.Handover.Export()
		h.From, h.Shards = g.line.Name, parts
		h.LoadReports = h.LoadReports[:min(len(h.LoadReports), handMost)]
		b, err := cbor.Marshal(h)
		if err != nil {
			continue
		}
		c := g.line.client(name, requests[name])
		if _, err := c.ask(within, "HAND", string(b)); err != nil {
			g.line.Log.Debug().Err(err).Str("to", name).Msg("what is known of the parts could not be handed over")
		}
		c.close()
	}
}

// handed takes a handover of a member that is on the register.
func (g *Cluster) handed(body string) error {
	var h Handover
	if err := cbor.Unmarshal([]byte(body), &h); err != nil {
		return fmt.Errorf("HAND: %w", err)
	}
	if len(h.LoadReports) > handMost {
		return fmt.Errorf("HAND: %d sums, %d are taken", len(h.LoadReports), handMost)
	}
	for _, s := range h.LoadReports {
		if s.Zone < 0 || s.Zone >= len(g.line.Settings.Zones) || s.Attempts < 0 || s.Errors < 0 || s.Errors > s.Attempts || s.MeanLatency < 0 || s.Window <= 0 {
			return fmt.Errorf("HAND: a sum that makes no sense: %+v", s)
		}
	}
	if err := g.mustBeKnown(h.From); err != nil {
		return err
	}
	g.line.Log.Info().Str("from", h.From).Ints("parts", h.Shards).Int("sums", len(h.LoadReports)).Strs("withdrawn", h.Withdrawn[:min(len(h.Withdrawn), 20)]).
		Int("unacknowledged_lines", h.UnackedEntries).Msg("parts are handed over")
	if g.line.Handover.Import != nil {
		g.line.Handover.Import(h)
	}
	return nil
}
