package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"peppervale/internal/model"
)

// The ports of a scenario. Each instance and each replica has an address of its own.
const (
	channelPort = 7700
	clusterPort = 7710
	gossipPort  = 7711
	consolePort = 7780
	probePort   = 7699 // says whether a network is in use
	replicaPort = 8080
)

// loopbackNetwork is the second octet of the network 127.x.0.0/16 that a scenario has to itself.
type loopbackNetwork int

// runs counts the scenarios of this process, so that each begins its search for a network elsewhere.
var runs atomic.Int64

// findFreeNetwork finds a network in which nothing listens, so that two scenarios on one machine do not meet.
func findFreeNetwork() (loopbackNetwork, error) {
	first := os.Getpid() + int(runs.Add(1))*41
	for k := range 100 {
		network := loopbackNetwork(20 + (first+k*37)%200)
		listener, err := net.Listen("tcp", network.registryAddress(probePort))
		if err == nil {
			_ = listener.Close()
			return network, nil
		}
	}
	return 0, errors.New("scenario: no free loopback network")
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
