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

// replicaComparison counts what the controllers report about one replica.
type replicaComparison struct {
	sides          []side
	listedReady    int
	listedLeaving  int // draining or gone
	unlisted       int
	receiving      int
	receivingReady int // receiving and listed as ready
	withdrawnReady int // withdrawn although listed as ready
}

// compareReplicas returns the disagreements about replicas.
func compareReplicas(controllers []polledController) []disagreement {
	addresses := map[string]bool{}
	for _, controller := range controllers {
		for address := range controller.view.replicas {
			addresses[address] = true
		}
	}
	var found []disagreement
	for address := range addresses {
		comparison := compareReplica(controllers, address)
		if kind, disagree := comparison.kind(); disagree {
			found = append(found, disagreement{Kind: kind, Subject: address, Sides: comparison.sides})
		}
	}
	return found
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
		c.listedReady++
	} else {
		c.listedLeaving++
	}
	switch {
	case replica.receivesRequests() && ready:
		c.receiving++
		c.receivingReady++
	case replica.receivesRequests():
		c.receiving++
	case ready && replica.Withdrawn:
		c.withdrawnReady++
	}
}

func (c *replicaComparison) addUnlisted(controller string) {
	c.sides = append(c.sides, side{Controller: controller, Report: "never heard of it"})
	c.unlisted++
}

// kind classifies the disagreement, if there is one. It is no disagreement if one controller's list has a replica as
// draining or gone and another controller never listed it.
func (c *replicaComparison) kind() (kind disagreementKind, disagree bool) {
	switch {
	case c.listedLeaving > 0 && c.receivingReady > 0:
		return sendsToLeaving, true
	case c.listedReady > 0 && c.listedLeaving+c.unlisted > 0:
		return listDiffers, true
	case c.receiving > 0 && c.withdrawnReady > 0:
		return stateDiffers, true
	default:
		return "", false
	}
}
