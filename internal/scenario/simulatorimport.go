package scenario

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

const (
	minReplicasPerZone      = 3
	minRedialMicroseconds   = 1000
	minFirstAttemptFraction = 0.01 // time before a retry, as a fraction of the latency objective
	utilizationField        = "util"
	quotaAdmission          = "share"
	noAdmission             = "none"
)

// The values of the simulator's settings and the corresponding values in scenario files.
var (
	effectNames = map[string]string{"safe": "idempotent", "keyed": "fingerprinted", "unsafe": "side-effecting"}
	pickNames   = map[string]string{"two": "pair", "weighted": "lottery", "round": "wheel"}
	retryNames  = []string{"never", "when-unrun", "any-failure", "two-more"}
)

// ImportSimulatorScenario converts a scenario of the operators' simulator into a scenario file with about maxProxies
// proxies, at least one per zone. The fleet, channel rate and queue are scaled by the same factor, but a zone has at
// least minReplicasPerZone replicas. The load stays the same share of the capacity. notes lists what could not be
// converted.
// Deduplication groups, random draws and exact times differ from the simulator's. Errors are of type
// *SimulatorScenarioError.
func ImportSimulatorScenario(text []byte, maxProxies int) (script []byte, notes []string, err error) {
	source, err := parseSimulatorScenario(text)
	if err != nil {
		return nil, nil, err
	}
	fleet, err := source.scaleFleet(maxProxies)
	if err != nil {
		return nil, nil, err
	}
	converter := &simulatorConverter{source: source, fleet: fleet}
	converter.writeScenario()
	return converter.text.Bytes(), converter.notes, nil
}

// scaledFleet is the size of the converted fleet.
type scaledFleet struct {
	scale           float64 // factor from the simulator's fleet to the converted fleet
	sourceReplicas  int     // replicas of the simulator that run at the start
	zoneCount       float64
	proxiesPerZone  int
	replicasPerZone int
	cores           int // of each replica
	minSpeed        float64
	maxSpeed        float64
	requestRate     float64 // requests per second
}

// runningReplicas summarizes the simulator's replicas that run at the start of the scenario.
type runningReplicas struct {
	count      int
	totalSpeed float64
	totalCores float64
	minSpeed   float64
	maxSpeed   float64
}

func (s *simulatorScenario) summarizeRunningReplicas() runningReplicas {
	running := runningReplicas{minSpeed: 1e9}
	kinds := s.tier().Kinds
	for _, replica := range s.Replicas {
		if !replica.Up || replica.Kind < 0 || replica.Kind >= len(kinds) {
			continue
		}
		running.count++
		running.totalSpeed += replica.Speed
		running.totalCores += float64(kinds[replica.Kind].Cores)
		running.minSpeed = min(running.minSpeed, replica.Speed)
		running.maxSpeed = max(running.maxSpeed, replica.Speed)
	}
	return running
}

// scaleFleet scales the fleet down to about maxProxies proxies. Each replica has the mean number of cores of the
// simulator's replicas. The request rate is set so that the load stays the same share of the capacity.
func (s *simulatorScenario) scaleFleet(maxProxies int) (scaledFleet, error) {
	running := s.summarizeRunningReplicas()
	if running.count == 0 {
		return scaledFleet{}, &SimulatorScenarioError{Problem: "no entry of servers is up and of a valid kind"}
	}
	zoneCount := float64(len(s.Zones))
	scale := min(1, float64(max(maxProxies, len(s.Zones)))/float64(len(s.Proxies)))
	fleet := scaledFleet{
		scale:           scale,
		sourceReplicas:  running.count,
		zoneCount:       zoneCount,
		proxiesPerZone:  roundToAtLeastOne(float64(len(s.Proxies)) * scale / zoneCount),
		replicasPerZone: max(minReplicasPerZone, roundToAtLeastOne(float64(running.count)*scale/zoneCount)),
		cores:           roundToAtLeastOne(running.totalCores / float64(running.count)),
		minSpeed:        running.minSpeed,
		maxSpeed:        running.maxSpeed,
	}
	busyCores := s.Traffic.Load * float64(fleet.replicasPerZone) * zoneCount * float64(fleet.cores)
	fleet.requestRate = busyCores * running.totalSpeed / float64(running.count) / s.meanWork() * 1e6
	return fleet, nil
}

// meanWork returns the mean work of a request in microseconds.
func (s *simulatorScenario) meanWork() float64 {
	totalShare, totalWork := 0.0, 0.0
	for _, operation := range s.Operations {
		totalShare += operation.Share
		totalWork += operation.Share * operation.Work
	}
	return totalWork / max(totalShare, 1e-9)
}

// simulatorConverter writes the blocks of the scenario file one after the other.
type simulatorConverter struct {
	source *simulatorScenario
	fleet  scaledFleet
	text   bytes.Buffer
	notes  []string
}

func (c *simulatorConverter) writeScenario() {
	c.writeHeader()
	c.writeOperations()
	c.writeFleet()
	c.writeGuarantees()
	c.writeChannel()
	c.writeReplicas()
	c.writeProxies()
	c.writeRegistry()
	c.writeLoad()
	for _, fault := range c.source.Faults {
		c.writeStep(fault)
	}
	if c.fleet.scale < 1 {
		note := fmt.Sprintf("the fleet is scaled to %.2f of its size, the channel rate and queue too", c.fleet.scale)
		c.notes = append(c.notes, note)
	}
}

// writeLine writes a formatted line of the scenario file.
func (c *simulatorConverter) writeLine(format string, arguments ...any) {
	fmt.Fprintf(&c.text, format+"\n", arguments...)
}

// openBlock begins a block.
func (c *simulatorConverter) openBlock(header string) { c.writeLine("%s {", header) }

// setAttribute writes an attribute of a block.
func (c *simulatorConverter) setAttribute(name, format string, value any) {
	c.writeLine("  %s = "+format, name, value)
}

// setDurationAttribute writes an attribute that is a duration.
func (c *simulatorConverter) setDurationAttribute(name string, microseconds float64) {
	c.setAttribute(name, "%s", quotedDuration(microseconds))
}

// closeBlock ends a block.
func (c *simulatorConverter) closeBlock() { c.writeLine("}") }

func (c *simulatorConverter) writeHeader() {
	source := c.source
	c.writeLine("# A bench day of %s (%s), %d proxies and %d servers there, carried over at %.2f of its size.",
		source.Site, source.Kind, len(source.Proxies), c.fleet.sourceReplicas, c.fleet.scale)
	c.openBlock(fmt.Sprintf("day %q", source.Site+"-bench"))
	c.writeLine("  about = \"from the bench: %s\"", source.faultNames())
	c.setDurationAttribute("length", source.Length)
	c.setAttribute("governors", "[%s]", quotedList(source.controllerZones()))
	c.closeBlock()
	c.writeLine("zones = [%s]", quotedList(source.Zones))
}

// controllerZones returns the zone of each controller, or only the first zone if no controller has a valid zone.
func (s *simulatorScenario) controllerZones() []string {
	var zones []string
	for _, zone := range s.Control.ControllerZones {
		if zone >= 0 && zone < len(s.Zones) {
			zones = append(zones, s.Zones[zone])
		}
	}
	if len(zones) == 0 {
		return s.Zones[:1]
	}
	return zones
}

func (c *simulatorConverter) writeOperations() {
	for _, operation := range c.source.Operations {
		c.openBlock(fmt.Sprintf("operation %q", operation.Name))
		c.setDurationAttribute("objective", operation.Objective)
		c.setDurationAttribute("timeout", operation.Timeout)
		c.setAttribute("billed_value", "%g", operation.Value)
		c.setAttribute("effect", "%q", effectNames[operation.Effect])
		if operation.Effect == "keyed" {
			c.setDurationAttribute("window", operation.Window)
		}
		c.closeBlock()
	}
}

func (c *simulatorConverter) writeFleet() {
	control := c.source.Control
	admission := noAdmission
	if control.Admission == quotaAdmission {
		admission = quotaAdmission
	}
	c.openBlock("fleet")
	c.setAttribute("forwarders", "%d", c.fleet.proxiesPerZone*len(c.source.Zones))
	c.setAttribute("standing", "%d", control.StandingTableSize)
	c.setAttribute("connections_least", "%d", c.connectionsPerReplica())
	c.setAttribute("avoids", "%v", control.EjectAfter > 0)
	c.setAttribute("admits", "%q", admission)
	c.setAttribute("crossing_price", "%g", c.source.Prices.CrossZone)
	c.setAttribute("order_price", "%g", control.PublishCost)
	if slices.Contains(c.source.tier().ReportFields, utilizationField) {
		c.setAttribute("load_report", "[%q]", utilizationField)
	}
	policy := min(max(control.RetryPolicy, 0), len(retryNames)-1)
	c.setAttribute("usual_way", "%q", retryNames[policy])
	c.setAttribute("first_wait", "%g", max(control.FirstAttemptFraction, minFirstAttemptFraction))
	c.closeBlock()
}

func (c *simulatorConverter) connectionsPerReplica() int {
	return roundToAtLeastOne(c.source.tier().ConnectionsPerCore * float64(c.fleet.cores))
}

func (c *simulatorConverter) writeGuarantees() {
	c.openBlock("rules")
	c.setDurationAttribute("bare", c.source.Control.MaxTimeWithoutReplica)
	c.setDurationAttribute("drain_grace", c.source.DrainGrace)
	c.setDurationAttribute("cold", c.source.tier().StatedWarmUpPeriod)
	c.setAttribute("cold_share", "%g", c.source.tier().StatedInitialShare)
	c.setAttribute("tip_factor", "%g", c.source.OverloadFactor)
	c.setDurationAttribute("tip_span", c.source.OverloadDuration)
	c.closeBlock()
}

func (c *simulatorConverter) writeChannel() {
	control := c.source.Control
	c.openBlock("channel")
	c.setAttribute("pace", "%d", roundToAtLeastOne(control.EntriesPerSecond*c.fleet.scale))
	c.setAttribute("queue", "%d", roundToAtLeastOne(control.QueueLimit*c.fleet.scale))
	c.setAttribute("overhead", "%d", int(control.MessageOverhead))
	c.setDurationAttribute("period", control.ReportPeriod)
	c.setAttribute("intake", "%d", roundToAtLeastOne(control.ReportLimit))
	c.setAttribute("messages_most", "%d", control.MessageLimit)
	c.closeBlock()
}

func (c *simulatorConverter) writeReplicas() {
	tier := c.source.tier()
	kind := tier.Kinds[0]
	c.openBlock("replicas")
	c.setAttribute("each_zone", "%d", c.fleet.replicasPerZone)
	c.setAttribute("cores", "%d", c.fleet.cores)
	c.setAttribute("speed_from", "%.3f", c.fleet.minSpeed)
	c.setAttribute("speed_to", "%.3f", c.fleet.maxSpeed)
	c.setAttribute("waiting", "%d", kind.Queue)
	c.setAttribute("connections", "%d", c.connectionsPerReplica())
	c.setAttribute("cold_share", "%.3f", kind.InitialShare)
	c.setDurationAttribute("cold_span", kind.WarmUpPeriod)
	c.setDurationAttribute("report_every", tier.ReportPeriod)
	c.setDurationAttribute("handshake", tier.HandshakeWork)
	c.closeBlock()
}

func (c *simulatorConverter) writeProxies() {
	control := c.source.Control
	c.openBlock("forwarders")
	c.setAttribute("each_zone", "%d", c.fleet.proxiesPerZone)
	c.setAttribute("pick", "%q", pickNames[control.Pick])
	c.setAttribute("ejects", "%d", control.EjectAfter)
	c.setDurationAttribute("eject_for", control.EjectFor)
	c.setDurationAttribute("redial", max(control.RedialInterval, minRedialMicroseconds))
	c.setAttribute("client_tries", "%d", 1+c.source.Clients.Retries)
	c.closeBlock()
}

func (c *simulatorConverter) writeRegistry() {
	discovery := c.source.Discovery
	c.openBlock("list")
	c.setDurationAttribute("notice", discovery.ExitDelay)
	c.setDurationAttribute("silent_notice", discovery.SilentDelay)
	c.setDurationAttribute("add", discovery.AddDelay)
	c.closeBlock()
}

func (c *simulatorConverter) writeLoad() {
	c.openBlock("load")
	c.setAttribute("rate", "%.1f", c.fleet.requestRate)
	for _, operation := range c.source.Operations {
		c.writeLine("  work %q {\n    share = %g\n    mean = %s\n    spread = %.2f\n  }",
			operation.Name, operation.Share, quotedDuration(operation.Work), operation.WorkVariation)
	}
	c.closeBlock()
}

// faultNames returns the kinds of all faults, for the description of the scenario.
func (s *simulatorScenario) faultNames() string {
	var names []string
	for _, fault := range s.Faults {
		names = append(names, fault.Kind)
	}
	return strings.Join(names, ", ")
}

// roundToAtLeastOne rounds to an integer of at least 1.
func roundToAtLeastOne(value float64) int { return max(1, int(value+0.5)) }

// quotedDuration formats a duration for scenario files, in whole milliseconds.
func quotedDuration(microseconds float64) string {
	return fmt.Sprintf("%q", fmt.Sprintf("%dms", int(microseconds/1000+0.5)))
}

func quotedList(words []string) string {
	quoted := make([]string, len(words))
	for i, word := range words {
		quoted[i] = fmt.Sprintf("%q", word)
	}
	return strings.Join(quoted, ", ")
}
