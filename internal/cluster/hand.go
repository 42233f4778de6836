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
	Parts          []int              `cbor:"Parts"`
	Sums           []model.LoadReport `cbor:"Sums"`           // the newest of each replica and zone
	Withdrawn      []string           `cbor:"Withdrawn"`      // replicas, by address
	Unacknowledged int                `cbor:"Unacknowledged"` // lines that forwarders have not acknowledged
}

// handMost bounds a handover, in sums: a list of 2,000 replicas in eight zones.
const handMost = 16_384

// Hands is what a member tells and takes at planned moves. Nil members don't.
type Hands struct {
	Give func() Handover
	Take func(Handover)
}

// handOver tells each member that is to hold the parts of a Release what this one knows of them. It is a help, not a condition: the
// Release leaves whether or not it arrived.
func (g *Group) handOver(c *Command, within time.Duration) {
	if g.line.Hands.Give == nil {
		return
	}
	to := map[string][]int{}
	g.mu.Lock()
	for _, a := range c.Asks {
		if p := g.member.reg.part(a.Part); p != nil {
			if m := g.member.reg.Member(p.Wanted); m != nil && m.Name != g.line.Name {
				to[m.Name] = append(to[m.Name], a.Part)
			}
		}
	}
	requests := map[string]string{}
	for name := range to {
		requests[name] = g.line.address(name, g.member.reg.Member(name).Record.Request)
	}
	g.mu.Unlock()
	for name, parts := range to {
		h := g.line.Hands.Give()
		h.From, h.Parts = g.line.Name, parts
		h.Sums = h.Sums[:min(len(h.Sums), handMost)]
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
func (g *Group) handed(body string) error {
	var h Handover
	if err := cbor.Unmarshal([]byte(body), &h); err != nil {
		return fmt.Errorf("HAND: %w", err)
	}
	if len(h.Sums) > handMost {
		return fmt.Errorf("HAND: %d sums, %d are taken", len(h.Sums), handMost)
	}
	for _, s := range h.Sums {
		if s.Zone < 0 || s.Zone >= len(g.line.Terms.Zones) || s.Attempts < 0 || s.Errors < 0 || s.Errors > s.Attempts || s.MeanLatency < 0 || s.Window <= 0 {
			return fmt.Errorf("HAND: a sum that makes no sense: %+v", s)
		}
	}
	if err := g.mustBeKnown(h.From); err != nil {
		return err
	}
	g.line.Log.Info().Str("from", h.From).Ints("parts", h.Parts).Int("sums", len(h.Sums)).Strs("withdrawn", h.Withdrawn[:min(len(h.Withdrawn), 20)]).
		Int("unacknowledged_lines", h.Unacknowledged).Msg("parts are handed over")
	if g.line.Hands.Take != nil {
		g.line.Hands.Take(h)
	}
	return nil
}
