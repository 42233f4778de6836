package comparison

import "fmt"

// Values of the JSON of a console.
const (
	statusReady = "ready"
	stateAbsent = "away"
)

// receivesRequests reports whether proxies of the reporting controller may send requests to the replica.
func (r *reportedReplica) receivesRequests() bool {
	return !r.Withdrawn && r.State != stateAbsent && r.SlowStartFactor > 0
}

// describe returns the reported state of the replica as text. The text is served as JSON.
func (r *reportedReplica) describe() string {
	description := fmt.Sprintf("%s, listed %s", r.State, r.ListedStatus)
	if r.Withdrawn {
		description += ", withdrawn"
	}
	return description
}

// replicaComparison counts controllers by their reports about one replica.
type replicaComparison struct {
	sides               []side
	listedReadyCount    int
	listedLeavingCount  int // draining or gone
	unlistedCount       int
	receivingCount      int
	receivingReadyCount int // receiving and listed as ready
	withdrawnReadyCount int // withdrawn although listed as ready
}

// compareReplicas returns the disagreements about replicas.
func compareReplicas(controllers []polledController) []disagreement {
	addresses := map[string]bool{}
	for _, controller := range controllers {
		for address := range controller.view.replicas {
			addresses[address] = true
		}
	}
	var disagreements []disagreement
	for address := range addresses {
		comparison := compareReplica(controllers, address)
		if kind, isDisagreement := comparison.kind(); isDisagreement {
			disagreements = append(disagreements, disagreement{Kind: kind, Subject: address, Sides: comparison.sides})
		}
	}
	return disagreements
}

func compareReplica(controllers []polledController, address string) *replicaComparison {
	comparison := &replicaComparison{}
	for _, controller := range controllers {
		replica, known := controller.view.replicas[address]
		if known {
			comparison.addListed(controller.view.name, &replica)
		} else {
			comparison.addUnlisted(controller.view.name)
		}
	}
	return comparison
}

func (c *replicaComparison) addListed(controller string, replica *reportedReplica) {
	c.sides = append(c.sides, side{Controller: controller, Report: replica.describe()})
	ready := replica.ListedStatus == statusReady
	if ready {
		c.listedReadyCount++
	} else {
		c.listedLeavingCount++
	}
	switch {
	case replica.receivesRequests() && ready:
		c.receivingCount++
		c.receivingReadyCount++
	case replica.receivesRequests():
		c.receivingCount++
	case ready && replica.Withdrawn:
		c.withdrawnReadyCount++
	}
}

func (c *replicaComparison) addUnlisted(controller string) {
	c.sides = append(c.sides, side{Controller: controller, Report: "never heard of it"})
	c.unlistedCount++
}

// kind classifies the disagreement, if there is one. It is no disagreement if one controller's list has a replica as
// draining or gone and another controller never listed it.
func (c *replicaComparison) kind() (kind disagreementKind, isDisagreement bool) {
	switch {
	case c.listedLeavingCount > 0 && c.receivingReadyCount > 0:
		return sendsToLeaving, true
	case c.listedReadyCount > 0 && c.listedLeavingCount+c.unlistedCount > 0:
		return listDiffers, true
	case c.receivingCount > 0 && c.withdrawnReadyCount > 0:
		return stateDiffers, true
	default:
		return "", false
	}
}
