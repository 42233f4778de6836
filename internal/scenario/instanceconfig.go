package scenario

import (
	"bytes"
	"fmt"
	"time"
)

// serviceName is the name of the service under which the replicas are registered.
const serviceName = "replica"

// instanceSettings holds the settings that differ between the configuration files of a scenario's instances.
type instanceSettings struct {
	index    int
	name     string
	listen   string
	console  string
	state    string // path of the state directory
	registry string // address of the endpoint registry
	seed     uint64
	network  loopbackNetwork
}

const instanceConfigFormat = `governor %q {
  listen = %q
  state = %q
  seed = %d
  farewell = "500ms"
}
machine_list "consul" {
  address = %q
  service = %q
  wait = "5s"
  slack = "1s"
}
console {
  listen = %q
}
`

const clusterConfigFormat = `group {
  listen = %q
  gossip = %q
  zone = %q
  parts = %d
  span = %q
  settle = %q
  pace = %q
`

const memberConfigFormat = `  member %q {
    address = %q
    gossip = %q
  }
`

// instanceConfig returns the content of an instance's configuration file.
func (s *Script) instanceConfig(settings instanceSettings) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "# written by peppervale day run, %s\n", time.Now().Format(time.RFC3339))
	fmt.Fprintf(&text, instanceConfigFormat, settings.name, settings.listen, settings.state, settings.seed,
		settings.registry, serviceName, settings.console)
	if s.Sharding != nil {
		s.writeClusterBlock(&text, settings)
	}
	text.Write(s.instanceBlocks)
	return text.Bytes()
}

// writeClusterBlock writes the block with an instance's cluster settings and the list of all members.
func (s *Script) writeClusterBlock(text *bytes.Buffer, settings instanceSettings) {
	address := settings.network.instanceAddress
	fmt.Fprintf(text, clusterConfigFormat,
		address(settings.index, clusterPort),
		address(settings.index, gossipPort),
		s.InstanceZones[settings.index],
		s.Sharding.ShardsPerZone,
		s.Sharding.LeaseDuration.Duration(),
		s.Sharding.StabilizationPeriod.Duration(),
		s.Sharding.MoveInterval.Duration())
	for i, zone := range s.InstanceZones {
		fmt.Fprintf(text, memberConfigFormat, instanceName(zone, i), address(i, clusterPort), address(i, gossipPort))
	}
	text.WriteString("}\n")
}

func instanceName(zone string, index int) string { return fmt.Sprintf("%s-%d", zone, index+1) }
