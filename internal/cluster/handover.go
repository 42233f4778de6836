package cluster

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/model"
)

// Handover is what a lease holder passes on to the next one with the shards that it gives away: what it has measured,
// not what is to be done. After an unplanned takeover there is none. Its CBOR names are pinned, as members of other
// versions have them.
type Handover struct {
	From           string             `cbor:"From"` // the member that gives the shards away
	Shards         []int              `cbor:"Parts"`
	LoadReports    []model.LoadReport `cbor:"Sums"`           // the newest of each replica and zone
	Withdrawn      []string           `cbor:"Withdrawn"`      // replicas, by address
	UnackedEntries int                `cbor:"Unacknowledged"` // entries that proxies have not acknowledged
}

// maxHandoverReports bounds a Handover: an endpoint list of 2,000 replicas in eight zones.
const maxHandoverReports = 16_384

// maxLoggedReplicas bounds the withdrawn replicas that a log line names.
const maxLoggedReplicas = 20

// HandoverCallbacks are called at planned moves. A callback that is nil is left out.
type HandoverCallbacks struct {
	Export func() Handover // gives what this member knows; From and Shards are filled in
	Import func(Handover)  // takes what another member knew
}

// handoverTarget is a member that is to hold released shards.
type handoverTarget struct {
	name    string
	address string
	shards  []int
}

// sendHandovers sends each member that is to hold released shards what this one knows of them. The release does not
// depend on it: an error is only logged.
func (c *Cluster) sendHandovers(release ReleaseLeases, timeout time.Duration) {
	if c.config.Handover.Export == nil {
		return
	}
	for _, target := range c.handoverTargets(release) {
		if err := c.sendHandover(target, timeout); err != nil {
			c.config.Log.Debug().Err(err).Str("to", target.name).Msg("handover could not be sent")
		}
	}
}

func (c *Cluster) handoverTargets(release ReleaseLeases) map[string]*handoverTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.member.state
	targets := map[string]*handoverTarget{}
	for _, request := range release.Requests {
		shard := state.shard(request.Shard)
		if shard == nil {
			continue
		}
		member := state.Member(shard.Target)
		if member == nil || member.Name == c.config.Name {
			continue
		}
		target, known := targets[member.Name]
		if !known {
			address := c.config.addressOf(member.Name, member.Record.RequestAddress)
			target = &handoverTarget{name: member.Name, address: address}
			targets[member.Name] = target
		}
		target.shards = append(target.shards, request.Shard)
	}
	return targets
}

func (c *Cluster) sendHandover(target *handoverTarget, timeout time.Duration) error {
	handover := c.config.Handover.Export()
	handover.From = c.config.Name
	handover.Shards = target.shards
	handover.LoadReports = handover.LoadReports[:min(len(handover.LoadReports), maxHandoverReports)]
	data, err := cbor.Marshal(handover)
	if err != nil {
		return err
	}
	receiver := c.config.newClient(target.name, target.address)
	defer receiver.close()
	_, err = receiver.request(timeout, requestHandover, string(data))
	return err
}

// acceptHandover takes the handover of a registered member.
func (c *Cluster) acceptHandover(body string) error {
	var handover Handover
	if err := cbor.Unmarshal([]byte(body), &handover); err != nil {
		return fmt.Errorf("HAND: %w", err)
	}
	if len(handover.LoadReports) > maxHandoverReports {
		return invalidRequest("HAND: %d load reports; at most %d are accepted", len(handover.LoadReports), maxHandoverReports)
	}
	for _, report := range handover.LoadReports {
		if !c.isPlausible(report) {
			return invalidRequest("HAND: implausible load report: %+v", report)
		}
	}
	if err := c.checkMemberIsKnown(handover.From); err != nil {
		return err
	}
	withdrawn := handover.Withdrawn[:min(len(handover.Withdrawn), maxLoggedReplicas)]
	c.config.Log.Info().
		Str("from", handover.From).
		Ints("shards", handover.Shards).
		Int("load_reports", len(handover.LoadReports)).
		Strs("withdrawn", withdrawn).
		Int("unacknowledged_entries", handover.UnackedEntries).
		Msg("handover received")
	if c.config.Handover.Import != nil {
		c.config.Handover.Import(handover)
	}
	return nil
}

func (c *Cluster) isPlausible(report model.LoadReport) bool {
	knownZone := report.Zone >= 0 && report.Zone < len(c.config.Settings.Zones)
	possibleCounts := report.Attempts >= 0 && report.Errors >= 0 && report.Errors <= report.Attempts
	possibleTimes := report.MeanLatency >= 0 && report.Window > 0
	return knownZone && possibleCounts && possibleTimes
}
