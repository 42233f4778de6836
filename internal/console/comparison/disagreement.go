package comparison

import (
	"cmp"
	"slices"
	"strings"

	"peppervale/internal/model"
)

// settlingTime is the duration from which a disagreement counts as persistent. A shorter disagreement may occur without
// a fault: the blocking queries of the controllers return a change of the endpoint list at different times, and the
// consoles are polled at different times.
const settlingTime = 4 * model.Second

// disagreementKind is what a disagreement is about. Its values are served as JSON.
type disagreementKind string

const (
	// sendsToLeaving: one controller's endpoint list has a replica as draining or gone, and another controller sends
	// requests to it.
	sendsToLeaving disagreementKind = "sends to what another was told is leaving"
	// listDiffers: a replica is ready in one endpoint list, and draining, gone or missing in another.
	listDiffers disagreementKind = "the list differs"
	// stateDiffers: one controller has withdrawn a replica and another sends requests to it, though both endpoint lists
	// have it as ready.
	stateDiffers disagreementKind = "out here, in there"
	// connectedTwice: a proxy is connected to several controllers.
	connectedTwice disagreementKind = "joined at two"
	// connectedNowhere: a proxy that was connected before is connected to no controller.
	connectedNowhere disagreementKind = "joined nowhere"
	// duplicateName: two controllers have the same name.
	duplicateName disagreementKind = "one name at two addresses"
	// incarnationDecreased: a controller reports an earlier incarnation than before.
	incarnationDecreased disagreementKind = "its life went back"
)

// kindsBySeverity has the most severe kind first.
var kindsBySeverity = []disagreementKind{
	sendsToLeaving, incarnationDecreased, duplicateName, listDiffers, connectedNowhere, connectedTwice, stateDiffers,
}

// side is what one controller reports about the subject of a disagreement.
type side struct {
	Controller string `json:"governor"`
	Report     string `json:"says"`
}

// disagreement is a difference between the reports of controllers. All comparisons from the time Since to the newest
// one have found it.
type disagreement struct {
	Kind    disagreementKind   `json:"kind"`
	Subject string             `json:"about"` // a replica's address, or the name of a proxy or a controller
	Sides   []side             `json:"sides"`
	Since   model.Microseconds `json:"since_us"`
}

// isPersistent reports whether a disagreement has lasted for settlingTime or longer.
func (d *disagreement) isPersistent(now model.Microseconds) bool {
	return now-d.Since >= settlingTime
}

// key identifies a disagreement across comparisons.
func (d *disagreement) key() string {
	return string(d.Kind) + " " + d.Subject
}

// sortDisagreements sorts persistent disagreements first. Within each group, the most severe and then the oldest
// disagreements come first.
func sortDisagreements(disagreements []disagreement, now model.Microseconds) {
	slices.SortFunc(disagreements, func(a, b disagreement) int {
		return cmp.Or(
			compareTrueFirst(a.isPersistent(now), b.isPersistent(now)),
			cmp.Compare(slices.Index(kindsBySeverity, a.Kind), slices.Index(kindsBySeverity, b.Kind)),
			cmp.Compare(a.Since, b.Since),
			strings.Compare(a.Subject, b.Subject),
		)
	})
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
