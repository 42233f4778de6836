package scenario

import (
	"path/filepath"
	"slices"

	"peppervale/internal/config"
	"peppervale/internal/model"
)

// hour bounds every duration of a scenario.
const hour = 3600 * model.Second

// noFaultyController is the setting for real instances.
const noFaultyController = "none"

// Open reads the scenario file at path. Mistakes in it are returned as config.Errors.
func Open(path string) (*Script, error) {
	reader, top := config.Open(path)
	return parse(reader, top, path)
}

// Parse reads a scenario from text as if it were the content of the file at path, to which the file's own references
// are relative. Mistakes in it are returned as config.Errors.
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

// readScript reads the blocks of a file. Every mistake is recorded with the file's reader; what could not be read has
// its default.
func readScript(top *config.Block, directory string) *Script {
	if base := top.Maybe("like"); base != "" {
		top.Inherit(filepath.Join(directory, base), "day", "step")
	}
	script := &Script{}
	block := top.One("day", 1, true)
	script.readHeader(block)
	script.Zones = top.Texts("zones", true)
	for _, zone := range script.InstanceZones {
		if !slices.Contains(script.Zones, zone) {
			block.Fault("governors", "governors: %q is none of the zones", zone)
		}
	}
	script.Operations = config.Operations(top)
	script.Config, script.Guarantees = config.ReadTerms(top, script.Seed, script.Zones, script.Operations)
	script.readChannel(top.One("channel", 0, true))
	script.instanceBlocks = top.Source("zones", "operation", "fleet", "rules", "channel")
	script.Replicas = readReplicas(top.One("replicas", 0, true))
	script.Proxies = readProxies(top.One("forwarders", 0, true))
	script.Registry = readRegistry(top.One("list", 0, false))
	script.Load = script.readLoad(top.One("load", 0, true))
	for _, stepBlock := range top.Repeated("step", 1) {
		script.Steps = append(script.Steps, script.readStep(stepBlock))
	}
	top.Done()
	return script
}

// readHeader reads the block that names the scenario.
func (s *Script) readHeader(block *config.Block) {
	s.Name = block.Labels[0]
	s.About = block.Maybe("about")
	s.Length = block.Span("length", -1, model.Second, hour)
	s.Seed = uint64(block.Whole("seed", 1, 0, 1<<30))
	s.InstanceZones = block.Governors()
	kinds := append([]string{noFaultyController}, FaultyControllerKinds...)
	s.FaultyController = block.Text("rogue", noFaultyController, kinds...)
	if block.Yes("shared", false) {
		s.Sharding = &Sharding{
			ShardsPerZone:       block.Whole("parts", 2, 1, 64),
			LeaseDuration:       block.Span("lease", 2*model.Second, 300*model.Millisecond, hour),
			StabilizationPeriod: block.Span("settle", 4*model.Second, 0, hour),
			MoveInterval:        block.Span("pace", model.Second, 0, hour),
		}
	}
	block.Done()
}

// readChannel reads the settings of the publish-subscribe channel into Config and Guarantees.
func (s *Script) readChannel(block *config.Block) {
	_, _ = config.ReadChannel(block, &s.Config, &s.Guarantees)
	block.Peers()
	block.Done()
}

func readReplicas(block *config.Block) Replicas {
	replicas := Replicas{
		PerZone:        block.Whole("each_zone", 0, 1, 250),
		Cores:          block.Whole("cores", 2, 1, 1000),
		QueueLimit:     block.Whole("waiting", 20, 0, 1_000_000),
		Connections:    block.Whole("connections", 200, 1, 1_000_000),
		BaySize:        block.Whole("bay_size", 3, 1, 1000),
		SpeedFrom:      block.Number("speed_from", 0.85, 0.01, 100),
		SpeedTo:        block.Number("speed_to", 1.1, 0.01, 100),
		ColdShare:      block.Number("cold_share", 0.25, 0.01, 1),
		ColdSpan:       block.Span("cold_span", 8*model.Second, 0, hour),
		ReportInterval: block.Span("report_every", 500*model.Millisecond, 0, hour),
		Handshake:      block.Span("handshake", 5*model.Millisecond, 0, hour),
	}
	block.Done()
	return replicas
}

func readProxies(block *config.Block) Proxies {
	proxies := Proxies{
		PerZone:        block.Whole("each_zone", 0, 1, 10_000),
		EjectAfter:     block.Whole("ejects", 0, 0, 1000),
		ClientAttempts: block.Whole("client_tries", 1, 1, 10),
		Pick:           block.Text("pick", "pair", "lottery", "wheel", "pair"),
		RedialInterval: block.Span("redial", 150*model.Millisecond, model.Millisecond, hour),
		EjectFor:       block.Span("eject_for", 5*model.Second, 0, hour),
		ClientBackoff:  block.Span("backoff", 100*model.Millisecond, 0, hour),
		StallPerEntry:  block.Span("stall_line", 0, 0, model.Second),
		RateSpread:     block.Number("rate_spread", 0.5, 0, 5),
	}
	block.Done()
	return proxies
}

func readRegistry(block *config.Block) Registry {
	registry := Registry{
		ExitDelay:   block.Span("notice", model.Second, 0, hour),
		SilentDelay: block.Span("silent_notice", 6*model.Second, 0, hour),
		AddDelay:    block.Span("add", 500*model.Millisecond, 0, hour),
	}
	block.Done()
	return registry
}

func (s *Script) readLoad(block *config.Block) Load {
	load := Load{Rate: block.Number("rate", 0, 0, 100_000)}
	for _, workBlock := range block.Blocks("work", 1) {
		load.Works = append(load.Works, s.readWork(workBlock))
	}
	if len(load.Works) == 0 {
		block.Fault("", "load: a block work \"operation\" { } is missing")
	}
	block.Done()
	return load
}

func (s *Script) readWork(block *config.Block) Work {
	work := Work{
		Operation: s.operationIndex(block.Labels[0]),
		Share:     block.Number("share", 1, 0, 1e6),
		Mean:      block.Span("mean", -1, 1, hour),
		Spread:    block.Number("spread", 0.5, 0, 10),
	}
	if work.Operation < 0 {
		block.Fault("", "work: no operation %q", block.Labels[0])
	}
	block.Done()
	return work
}

// operationIndex gives an operation's index, or -1 if there is none of this name.
func (s *Script) operationIndex(name string) int {
	return slices.IndexFunc(s.Operations, func(operation config.Operation) bool { return operation.Name == name })
}

func (s *Script) readStep(block *config.Block) Step {
	step := Step{
		Kind:     StepKind(block.Labels[0]),
		At:       block.Span("at", -1, 0, hour),
		Duration: block.Span("lasts", 5*model.Second, 0, hour),
		Zone:     block.Maybe("zone"),
		Fraction: block.Number("part", 0.25, 0, 1),
		Size:     block.Number("size", 3, 0, 1000),
		Number:   block.Whole("number", 1, 0, 1000),
		Silent:   block.Yes("silent", false),
		Group:    block.Maybe("group"),
	}
	if _, known := stepActions[step.Kind]; !known {
		block.Fault("", "step: no kind %q; there are %v", step.Kind, StepKinds())
	}
	if step.Zone != "" && !slices.Contains(s.Zones, step.Zone) {
		block.Fault("zone", "zone: %q is none of the zones", step.Zone)
	}
	if step.Kind == ZoneLoss && step.Zone == "" {
		block.Fault("", "step zone_loss: a zone is missing")
	}
	if step.At > s.Length {
		block.Fault("at", "at: the day has ended by then")
	}
	block.Done()
	return step
}
