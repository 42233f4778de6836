package cluster

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"peppervale/internal/model"
)

// Handover carries the measurements of a lease holder to the next holder of the shards that it releases. It holds no
// instructions. An unplanned takeover has no Handover. Its CBOR names must not change, as members of other versions use
// them.
type Handover struct {
	From           string             `cbor:"From"` // the member that releases the shards
	Shards         []int              `cbor:"Parts"`
	LoadReports    []model.LoadReport `cbor:"Sums"`           // the newest report of each replica and zone
	Withdrawn      []string           `cbor:"Withdrawn"`      // addresses of withdrawn replicas
	UnackedEntries int                `cbor:"Unacknowledged"` // entries that proxies have not acknowledged
}

// maxHandoverReports bounds the load reports of a Handover: it covers 2,000 replicas in eight zones.
const maxHandoverReports = 16_384

// maxLoggedReplicas bounds the withdrawn replicas that a log line names.
const maxLoggedReplicas = 20

// HandoverCallbacks are called when shards are moved as planned; a nil callback is skipped.
type HandoverCallbacks struct {
	Export func() Handover // returns this member's measurements; the cluster sets From and Shards
	Import func(Handover)  // receives the measurements of another member
}

// handoverTarget is a member that is to hold released shards.
type handoverTarget struct {
	name    string
	address string
	shards  []int
}

// sendHandovers sends a Handover to each member that is to hold released shards. The release does not depend on it, so
// an error is only logged.
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
	targetClient := c.config.newClient(target.name, target.address)
	defer targetClient.close()
	_, err = targetClient.request(timeout, requestHandover, string(data))
	return err
}

// acceptHandover checks the handover of a registered member and imports it.
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
