package scenario

import (
	"fmt"
	"strings"
)

const (
	maxStepSize           = 1000
	maxStepNumber         = 1000
	microsecondsPerSecond = 1e6
	silentThreshold       = 0.5 // with a higher Extra, the replicas of a lost zone keep running but do not answer
	processFaultPrefix    = "balancer_"
)

// simulatorSteps maps the simulator's kinds of faults to kinds of steps. It does not contain the faults of proxies and
// controllers (see convertProcessFault) and the faults that the stand-ins cannot reproduce.
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

// convertedStep holds the values of a step that is written to the scenario file.
type convertedStep struct {
	kind           StepKind
	candidateCount int // number of replicas, proxies or controllers that the fault can affect
	size           float64
	number         int
	zone           string // "": none
	silent         bool
	group          string // "": none
}

// writeStep converts a fault and writes its step. It adds a note if the fault cannot be converted.
func (c *simulatorConverter) writeStep(fault simulatorFault) {
	step, ok := c.convertFault(fault)
	if !ok {
		c.notes = append(c.notes, fmt.Sprintf("%s is left out: the stand-ins cannot reproduce it", fault.Kind))
		return
	}
	c.openBlock(fmt.Sprintf("step %q", string(step.kind)))
	c.setDurationAttribute("at", min(fault.StartsAt, c.source.Length))
	c.setDurationAttribute("lasts", fault.Duration)
	c.setAttribute("part", "%.3f", fault.fraction(step.candidateCount))
	c.setAttribute("size", "%.3f", min(step.size, maxStepSize))
	c.setAttribute("number", "%d", min(step.number, maxStepNumber))
	if step.zone != "" {
		c.setAttribute("zone", "%q", step.zone)
		c.setAttribute("silent", "%v", step.silent)
	}
	if step.group != "" {
		c.setAttribute("group", "%q", step.group)
	}
	c.closeBlock()
}

// fraction returns the fraction of the candidates that the fault affects.
func (f simulatorFault) fraction(candidateCount int) float64 {
	if len(f.Targets) == 0 || candidateCount == 0 {
		return 1
	}
	return min(1, float64(len(f.Targets))/float64(candidateCount))
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
	step = convertedStep{kind: kind, candidateCount: len(c.source.Replicas), size: fault.Size, number: 1}
	c.convertParameters(&step, fault)
	return step, true
}

// convertProcessFault converts a fault of proxies or controllers. The simulator numbers the controllers after the
// proxies. A roll of proxies becomes a crash, as no step restarts proxies in turn.
func (c *simulatorConverter) convertProcessFault(fault simulatorFault) convertedStep {
	step := convertedStep{size: fault.Duration / microsecondsPerSecond, number: 1}
	action := strings.TrimPrefix(fault.Kind, processFaultPrefix)
	affectsControllers := len(fault.Targets) > 0 && fault.Targets[0] >= len(c.source.Proxies)
	switch {
	case affectsControllers:
		step.kind = StepKind("governor_" + action)
		step.candidateCount = len(c.source.Control.ControllerZones)
	case action == "roll":
		step.kind = ProxyCrash
		step.candidateCount = len(c.source.Proxies)
	default:
		step.kind = StepKind("forwarder_" + action)
		step.candidateCount = len(c.source.Proxies)
	}
	return step
}

// convertParameters sets the parameters of a step that depend on its kind.
func (c *simulatorConverter) convertParameters(step *convertedStep, fault simulatorFault) {
	switch step.kind {
	case LoadReportsLate:
		step.size = reportDelaySeconds(fault.Size)
	case Deploy:
		step.number = roundToAtLeastOne(fault.Size * float64(c.fleet.replicasPerZone) * c.fleet.zoneCount)
		step.size = drainSeconds(fault.Extra)
	case ZoneLoss:
		step.zone = c.source.Zones[clampIndex(fault.Index, len(c.source.Zones))]
		step.silent = fault.Extra > silentThreshold
	case OperationFails:
		step.group = c.source.Operations[clampIndex(fault.Index, len(c.source.Operations))].Name
	case FewerConnections:
		step.number = max(1, min(maxStepNumber, int(fault.Size)))
	case Grow:
		step.number = roundToAtLeastOne(float64(len(fault.Targets)) * c.fleet.scale / c.fleet.zoneCount)
	}
}

// reportDelaySeconds converts a size to seconds. The simulator gives the size in microseconds or in seconds: a size
// that would be shorter than minSeconds if it were in microseconds is in seconds.
func reportDelaySeconds(size float64) float64 {
	const minSeconds = 0.01
	if converted := size / microsecondsPerSecond; converted >= minSeconds {
		return converted
	}
	return size
}

// drainSeconds converts the extra parameter of a fault to seconds. The simulator gives it in microseconds or in
// seconds: a value of at most maxSeconds is in seconds.
func drainSeconds(extra float64) float64 {
	const maxSeconds = 1000
	if extra > maxSeconds {
		return extra / microsecondsPerSecond
	}
	return extra
}

// clampIndex returns the nearest valid index of a list of the given length.
func clampIndex(index, length int) int { return min(max(index, 0), length-1) }
