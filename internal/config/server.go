package config

import (
	"math"
	"path/filepath"
	"time"

	"peppervale/internal/model"
)

// Limits of the numbers in a configuration file. They are wide and only detect a wrong unit or an extra digit.
const (
	maxDuration         = 3600 * model.Second
	maxCount            = 1_000_000
	maxRate             = 1e9 // per second
	maxPriorityWeight   = 1e9
	maxUnsentBytes      = 1 << 30
	maxTotalUnsentBytes = 1 << 40
	maxHeldBytes        = 1 << 30
	maxTotalHeldBytes   = 1 << 40
)

// Server is the configuration file of an instance.
type Server struct {
	Name                string
	ListenAddress       string // address of the channel
	StateDir            string // directory of the durable state
	Zones               []string
	Operations          []Operation
	Balancer            model.Config
	Guarantees          Guarantees
	ReportLimit         int     // maximum load reports per second that the balancer accepts
	ChannelRate         float64 // entries per second that the channel writes
	Discovery           Discovery
	PeerLimits          PeerLimits
	ShutdownGracePeriod time.Duration
	LogLevel            string
	ConsoleAddress      string   // address of the web console; "" for none
	ConsoleConnections  int      // open connections of the web console; 0: the console's own default
	Cluster             *Cluster // nil: the instance is not part of a cluster
}

// Discovery is the source of the endpoint list.
type Discovery struct {
	Kind    string // "consul" is the only one
	Address string
	Service string
	Wait    time.Duration // how long a blocking query may wait for a change
	Timeout time.Duration // time to connect, and time for the response beyond the wait
}

// LoadServer reads the file of an instance. The error has the type Errors.
func LoadServer(path string) (*Server, error) {
	reader, top := Open(path)
	if top == nil {
		return nil, reader.Err()
	}
	server := readServer(top, filepath.Dir(path))
	return server, reader.Err()
}

// readServer reads the top level of a file in the directory dir.
func readServer(top *Block, dir string) *Server {
	server := &Server{}
	server.readInstance(top.SingleBlock("governor", 1, true), dir)
	server.Zones = top.Strings("zones", true)
	server.Operations = ReadOperations(top)
	seed := server.Balancer.Seed
	server.Balancer, server.Guarantees = ReadBalancerConfig(top, seed, server.Zones, server.Operations)

	channel := top.SingleBlock("channel", 0, true)
	server.ChannelRate, server.ReportLimit = ReadChannelConfig(channel, &server.Balancer, &server.Guarantees)
	server.PeerLimits = channel.PeerLimits()
	channel.RejectUnknown()

	if console := top.SingleBlock("console", 0, false); console.Present() {
		server.ConsoleAddress = console.Address("listen", true)
		server.ConsoleConnections = console.Int("connections", 0, 0, maxCount)
		console.RejectUnknown()
	}
	if cluster := top.SingleBlock("group", 0, false); cluster.Present() {
		server.Cluster = readCluster(cluster, server)
	}
	server.Discovery = readDiscovery(top.SingleBlock("machine_list", 1, true))
	top.RejectUnknown()
	return server
}

// readInstance reads the block governor "NAME" { }.
func (s *Server) readInstance(block *Block, dir string) {
	s.Name = block.Labels[0]
	s.ListenAddress = block.Address("listen", true)
	s.StateDir = block.String("state", "")
	if s.StateDir != "" && !filepath.IsAbs(s.StateDir) {
		s.StateDir = filepath.Join(dir, s.StateDir)
	}
	s.Balancer.Seed = uint64(block.Int("seed", 1, 0, math.MaxInt32))
	s.LogLevel = block.String("log", "info", "debug", "info", "warn", "error")
	s.ShutdownGracePeriod = block.Duration("farewell", 2*model.Second, 0, maxDuration).Duration()
	block.RejectUnknown()
}

// readDiscovery reads the block machine_list "KIND" { }.
func readDiscovery(block *Block) Discovery {
	const (
		minWait = 10 * model.Millisecond
		maxWait = 600 * model.Second
	)
	discovery := Discovery{Kind: block.Labels[0]}
	if discovery.Kind != "consul" && discovery.Kind != "" {
		block.AddError("", "machine_list: unknown kind %q; the only supported kind is consul", discovery.Kind)
	}
	discovery.Address = block.Address("address", false)
	discovery.Service = block.String("service", "")
	discovery.Wait = block.Duration("wait", 10*model.Second, minWait, maxWait).Duration()
	discovery.Timeout = block.Duration("slack", 2*model.Second, minWait, maxWait).Duration()
	block.RejectUnknown()
	return discovery
}
