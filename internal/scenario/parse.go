package scenario

import (
	"path/filepath"
	"slices"

	"peppervale/internal/config"
	"peppervale/internal/model"
)

// maxDuration is the upper limit of every duration of a scenario.
const maxDuration = 3600 * model.Second

// maxReplicasPerZone is limited because a replica's number in its zone, from 1, is the last octet of its address.
const maxReplicasPerZone = 250

// noFaultyController is the setting that runs real instances instead of a faulty controller.
const noFaultyController = "none"

// Open reads the scenario file at path. Mistakes in the file are returned as config.Errors.
func Open(path string) (*Script, error) {
	reader, top := config.Open(path)
	return parse(reader, top, path)
}

// Parse reads a scenario from text as if it were the content of the file at path. References to other files are
// relative to path. Mistakes in the text are returned as config.Errors.
func Parse(path string, text []byte) (*Script, error) {
	reader, top := config.Parse(path, text)
	return parse(reader, top, path)
}

func parse(reader *config.Reader, top *config.Block, path string) (*Script, error) {
	if top == nil {
		return nil, reader.Err()
	}
	script := readScript(top, filepath.Dir(path))
	return script, reader.Err()
}

// readScript reads the blocks of a file. It records every mistake in the file's reader. A setting that cannot be read
// gets its default.
func readScript(top *config.Block, directory string) *Script {
	if base := top.OptionalString("like"); base != "" {
		top.Inherit(filepath.Join(directory, base), "day", "step")
	}
	script := &Script{}
	block := top.SingleBlock("day", 1, true)
	script.readHeader(block)
	script.Zones = top.Strings("zones", true)
	for _, zone := range script.InstanceZones {
		if !slices.Contains(script.Zones, zone) {
			block.AddError("governors", "governors: %q is not one of the zones", zone)
		}
	}
	script.Operations = config.ReadOperations(top)
	script.Balancer, script.Guarantees = config.ReadBalancerConfig(top, script.Seed, script.Zones, script.Operations)
	script.readChannel(top.SingleBlock("channel", 0, true))
	script.instanceBlocks = top.Source("zones", "operation", "fleet", "rules", "channel")
	script.Replicas = readReplicas(top.SingleBlock("replicas", 0, true))
	script.Proxies = readProxies(top.SingleBlock("forwarders", 0, true))
	script.Registry = readRegistry(top.SingleBlock("list", 0, false))
	script.Load = script.readLoad(top.SingleBlock("load", 0, true))
	for _, stepBlock := range top.RepeatedBlocks("step", 1) {
		script.Steps = append(script.Steps, script.readStep(stepBlock))
	}
	top.RejectUnknown()
	return script
}

// readHeader reads the block with the scenario's name and general settings.
func (s *Script) readHeader(block *config.Block) {
	s.Name = block.Labels[0]
	s.About = block.OptionalString("about")
	s.Length = block.Duration("length", -1, model.Second, maxDuration)
	s.Seed = uint64(block.Int("seed", 1, 0, 1<<30))
	s.InstanceZones = block.InstanceZones()
	kinds := append([]string{noFaultyController}, FaultyControllerKinds...)
	s.FaultyController = block.String("rogue", noFaultyController, kinds...)
	if block.Bool("shared", false) {
		s.Sharding = &Sharding{
			ShardsPerZone:       block.Int("parts", 2, 1, 64),
			LeaseDuration:       block.Duration("lease", 2*model.Second, 300*model.Millisecond, maxDuration),
			StabilizationPeriod: block.Duration("settle", 4*model.Second, 0, maxDuration),
			MoveInterval:        block.Duration("pace", model.Second, 0, maxDuration),
		}
	}
	block.RejectUnknown()
}

// readChannel reads the settings of the publish-subscribe channel into Balancer and Guarantees.
func (s *Script) readChannel(block *config.Block) {
	_, _ = config.ReadChannelConfig(block, &s.Balancer, &s.Guarantees)
	block.PeerLimits()
	block.RejectUnknown()
}

func readReplicas(block *config.Block) Replicas {
	replicas := Replicas{
		PerZone:                block.Int("each_zone", 0, 1, maxReplicasPerZone),
		Cores:                  block.Int("cores", 2, 1, 1000),
		QueueLimit:             block.Int("waiting", 20, 0, 1_000_000),
		MaxConnections:         block.Int("connections", 200, 1, 1_000_000),
		DeduplicationGroupSize: block.Int("bay_size", 3, 1, 1000),
		MinSpeed:               block.Float("speed_from", 0.85, 0.01, 100),
		MaxSpeed:               block.Float("speed_to", 1.1, 0.01, 100),
		InitialShare:           block.Float("cold_share", 0.25, 0.01, 1),
		WarmUpPeriod:           block.Duration("cold_span", 8*model.Second, 0, maxDuration),
		ReportInterval:         block.Duration("report_every", 500*model.Millisecond, 0, maxDuration),
		HandshakeWork:          block.Duration("handshake", 5*model.Millisecond, 0, maxDuration),
	}
	block.RejectUnknown()
	return replicas
}

func readProxies(block *config.Block) Proxies {
	proxies := Proxies{
		PerZone:        block.Int("each_zone", 0, 1, 10_000),
		EjectAfter:     block.Int("ejects", 0, 0, 1000),
		ClientAttempts: block.Int("client_tries", 1, 1, 10),
		Pick:           block.String("pick", "pair", "lottery", "wheel", "pair"),
		RedialInterval: block.Duration("redial", 150*model.Millisecond, model.Millisecond, maxDuration),
		EjectFor:       block.Duration("eject_for", 5*model.Second, 0, maxDuration),
		ClientBackoff:  block.Duration("backoff", 100*model.Millisecond, 0, maxDuration),
		StallPerEntry:  block.Duration("stall_line", 0, 0, model.Second),
		RateSpread:     block.Float("rate_spread", 0.5, 0, 5),
	}
	block.RejectUnknown()
	return proxies
}

func readRegistry(block *config.Block) Registry {
	registry := Registry{
		ExitDelay:   block.Duration("notice", model.Second, 0, maxDuration),
		SilentDelay: block.Duration("silent_notice", 6*model.Second, 0, maxDuration),
		AddDelay:    block.Duration("add", 500*model.Millisecond, 0, maxDuration),
	}
	block.RejectUnknown()
	return registry
}

func (s *Script) readLoad(block *config.Block) Load {
	load := Load{Rate: block.Float("rate", 0, 0, 100_000)}
	for _, workBlock := range block.Blocks("work", 1) {
		load.Operations = append(load.Operations, s.readOperationLoad(workBlock))
	}
	if len(load.Operations) == 0 {
		block.AddError("", "load: a block work \"operation\" { } is missing")
	}
	block.RejectUnknown()
	return load
}

func (s *Script) readOperationLoad(block *config.Block) OperationLoad {
	load := OperationLoad{
		Operation: s.operationIndex(block.Labels[0]),
		Share:     block.Float("share", 1, 0, 1e6),
		Mean:      block.Duration("mean", -1, 1, maxDuration),
		Spread:    block.Float("spread", 0.5, 0, 10),
	}
	if load.Operation < 0 {
		block.AddError("", "work: unknown operation %q", block.Labels[0])
	}
	block.RejectUnknown()
	return load
}

// operationIndex returns the index of the operation with this name, or -1 if there is none.
func (s *Script) operationIndex(name string) int {
	return slices.IndexFunc(s.Operations, func(operation config.Operation) bool { return operation.Name == name })
}

func (s *Script) readStep(block *config.Block) Step {
	step := Step{
		Kind:     StepKind(block.Labels[0]),
		At:       block.Duration("at", -1, 0, maxDuration),
		Duration: block.Duration("lasts", 5*model.Second, 0, maxDuration),
		Zone:     block.OptionalString("zone"),
		Fraction: block.Float("part", 0.25, 0, 1),
		Size:     block.Float("size", 3, 0, 1000),
		Number:   block.Int("number", 1, 0, 1000),
		Silent:   block.Bool("silent", false),
		Group:    block.OptionalString("group"),
	}
	if _, known := stepActions[step.Kind]; !known {
		block.AddError("", "step: unknown kind %q; supported kinds are %v", step.Kind, StepKinds())
	}
	if step.Zone != "" && !slices.Contains(s.Zones, step.Zone) {
		block.AddError("zone", "zone: %q is not one of the zones", step.Zone)
	}
	if step.Kind == ZoneLoss && step.Zone == "" {
		block.AddError("", "step zone_loss: zone is missing")
	}
	if step.At > s.Length {
		block.AddError("at", "at: must not be later than the day's length")
	}
	block.RejectUnknown()
	return step
}
