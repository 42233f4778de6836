package scenario

import (
	"fmt"
	"strings"
)

const (
	maxStepSize     = 1000
	maxStepNumber   = 1000
	microsPerSecond = 1e6
	silentThreshold = 0.5 // a lost zone's Extra above it: replicas stay but answer nothing
	processPrefix   = "balancer_"
)

// simulatorSteps gives the step for a kind of fault. Kinds that are neither listed here nor begin with
// processPrefix cannot be run on sockets.
var simulatorSteps = map[string]StepKind{
	"vanish":         ReplicaVanish,
	"slow":           ReplicaSlow,
	"neighbour":      NoisyNeighbor,
	"report_late":    LoadReportsLate,
	"heavy_tail":     HeavyTail,
	"zone_loss":      ZoneLoss,
	"deploy":         Deploy,
	"discovery_down": RegistryFails,
	"shared_slow":    AllReplicasSlow,
	"reconnect":      ProxyReconnect,
	"ageing":         ReplicaAging,
	"false_reports":  FalseReports,
	"handshake_slow": SlowHandshake,
	"class_fail":     OperationFails,
	"grow":           Grow,
	"one_sided":      ProxyPartition,
	"conn_squeeze":   FewerConnections,
	"flapping":       ReplicaFlapping,
}

// convertedStep is a step as it is written to the scenario file.
type convertedStep struct {
	kind       StepKind
	candidates int // that the fault could have affected
	size       float64
	number     int
	zone       string // "": none
	silent     bool
	group      string // "": none
}

// writeStep converts a fault and writes its step, or notes that it cannot be converted.
func (c *simulatorConverter) writeStep(fault simulatorFault) {
	step, ok := c.convertFault(fault)
	if !ok {
		c.notes = append(c.notes, fmt.Sprintf("%s is left out: sockets do not play it", fault.Kind))
		return
	}
	c.open(fmt.Sprintf("step %q", string(step.kind)))
	c.setDuration("at", min(fault.At, c.source.Length))
	c.setDuration("lasts", fault.Length)
	c.set("part", "%.3f", fault.fraction(step.candidates))
	c.set("size", "%.3f", min(step.size, maxStepSize))
	c.set("number", "%d", min(step.number, maxStepNumber))
	if step.zone != "" {
		c.set("zone", "%q", step.zone)
		c.set("silent", "%v", step.silent)
	}
	if step.group != "" {
		c.set("group", "%q", step.group)
	}
	c.closeBlock()
}

// fraction is how much of the candidates the fault affects.
func (f simulatorFault) fraction(candidates int) float64 {
	if len(f.On) == 0 || candidates == 0 {
		return 1
	}
	return min(1, float64(len(f.On))/float64(candidates))
}

func (c *simulatorConverter) convertFault(fault simulatorFault) (step convertedStep, ok bool) {
	switch fault.Kind {
	case "balancer_crash", "balancer_roll", "balancer_stall":
		return c.convertProcessFault(fault), true
	}
	kind, known := simulatorSteps[fault.Kind]
	if !known {
		return convertedStep{}, false
	}
	step = convertedStep{kind: kind, candidates: len(c.source.Replicas), size: fault.Size, number: 1}
	c.convertParameters(&step, fault)
	return step, true
}

// convertProcessFault converts a fault of proxies or controllers, which the simulator numbers after the proxies.
func (c *simulatorConverter) convertProcessFault(fault simulatorFault) convertedStep {
	step := convertedStep{size: fault.Length / microsPerSecond, number: 1}
	action := strings.TrimPrefix(fault.Kind, processPrefix)
	affectsControllers := len(fault.On) > 0 && fault.On[0] >= len(c.source.Proxies)
	switch {
	case affectsControllers:
		step.kind = StepKind("governor_" + action)
		step.candidates = len(c.source.Control.ControllerZones)
	case action == "roll":
		step.kind = ProxyCrash
		step.candidates = len(c.source.Proxies)
	default:
		step.kind = StepKind("forwarder_" + action)
		step.candidates = len(c.source.Proxies)
	}
	return step
}

// convertParameters sets what the kind of a step takes from its fault.
func (c *simulatorConverter) convertParameters(step *convertedStep, fault simulatorFault) {
	switch step.kind {
	case LoadReportsLate:
		step.size = lateSeconds(fault.Size)
	case Deploy:
		step.number = atLeastOne(fault.Size * float64(c.fleet.replicasPerZone) * c.fleet.zones)
		step.size = drainSeconds(fault.Extra)
	case ZoneLoss:
		step.zone = c.source.Zones[clampIndex(fault.Which, len(c.source.Zones))]
		step.silent = fault.Extra > silentThreshold
	case OperationFails:
		step.group = c.source.Operations[clampIndex(fault.Which, len(c.source.Operations))].Name
	case FewerConnections:
		step.number = max(1, min(maxStepNumber, int(fault.Size)))
	case Grow:
		step.number = atLeastOne(float64(len(fault.On)) * c.fleet.scale / c.fleet.zones)
	}
}

// lateSeconds converts microseconds; a size too small for that is of seconds already.
func lateSeconds(size float64) float64 {
	const minSeconds = 0.01
	if converted := size / microsPerSecond; converted >= minSeconds {
		return converted
	}
	return size
}

// drainSeconds converts microseconds; an extra too small for that is of seconds already.
func drainSeconds(extra float64) float64 {
	const maxSeconds = 1000
	if extra > maxSeconds {
		return extra / microsPerSecond
	}
	return extra
}

// clampIndex gives the nearest index of a list of so many elements.
func clampIndex(index, length int) int { return min(max(index, 0), length-1) }
