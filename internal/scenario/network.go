package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"peppervale/internal/model"
)

// The ports of a scenario. Each instance and each replica has its own IP address.
const (
	channelPort = 7700
	clusterPort = 7710
	gossipPort  = 7711
	consolePort = 7780
	probePort   = 7699 // see findFreeNetwork
	replicaPort = 8080
)

// loopbackNetwork is the second octet of the network 127.x.0.0/16 that holds the addresses of one scenario.
type loopbackNetwork int

// The parameters of the search for a free network. searchStride has no common factor with networkCount, so a search
// never tries a network twice. The searches of two consecutive scenarios of one process begin scenarioStride networks
// apart.
const (
	firstNetwork       = 20
	networkCount       = 200
	maxNetworkAttempts = 100
	scenarioStride     = 41
	searchStride       = 37
)

// startedScenarios counts the scenarios of this process, so that each begins its search at a different network.
var startedScenarios atomic.Int64

// findFreeNetwork finds a network on whose probePort nothing listens. The port is released again, so another process
// may still choose the same network. Scenarios usually get different networks because their searches begin at different
// networks.
func findFreeNetwork() (loopbackNetwork, error) {
	searchOffset := os.Getpid() + int(startedScenarios.Add(1))*scenarioStride
	for k := range maxNetworkAttempts {
		network := loopbackNetwork(firstNetwork + (searchOffset+k*searchStride)%networkCount)
		listener, err := net.Listen("tcp", network.registryAddress(probePort))
		if err == nil {
			_ = listener.Close()
			return network, nil
		}
	}
	return 0, errors.New("scenario: no free loopback network found")
}

func (n loopbackNetwork) registryAddress(port int) string {
	return fmt.Sprintf("127.%d.255.1:%d", n, port)
}

func (n loopbackNetwork) instanceAddress(index, port int) string {
	return fmt.Sprintf("127.%d.254.%d:%d", n, index+1, port)
}

func (n loopbackNetwork) replicaID(zone, index int) model.ReplicaID {
	return model.ReplicaID{Addr: [4]byte{127, byte(n), byte(zone + 1), byte(index + 1)}, Port: replicaPort}
}
