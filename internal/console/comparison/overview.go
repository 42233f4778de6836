package comparison

import (
	"time"

	"peppervale/internal/console"
	"peppervale/internal/model"
)

const (
	// maxShownDisagreements bounds the disagreements on the overview.
	maxShownDisagreements = 500

	// durationPrecision is the precision of a disagreement's duration on the overview.
	durationPrecision = 100 * time.Millisecond
)

// overviewBody lists the controllers and their disagreements.
type overviewBody struct {
	Controllers          []controllerRow   `json:"governors"`
	ComparedCount        int               `json:"compared"`
	PersistentCount      int               `json:"standing"`
	OmittedDisagreements int               `json:"disagreements_left_out,omitempty"`
	Disagreements        []disagreementRow `json:"disagreements"`
}

// controllerRow shows a controller's newest view.
type controllerRow struct {
	Address            string  `json:"address"` // URL of its console
	Name               string  `json:"governor"`
	ViewAge            string  `json:"last_known"`
	Recent             bool    `json:"fresh"`
	Error              string  `json:"error,omitempty"`
	Incarnation        uint64  `json:"life"`
	Version            uint64  `json:"version"`
	SafeMode           string  `json:"gate"`
	UnreportedReplicas int     `json:"gate_waits_for"`
	ConnectedProxies   int     `json:"forwarders_joined"`
	BoundProxies       int     `json:"forwarders_bound"`
	ReadyReplicas      int     `json:"listed_ready"`
	EndpointListAge    string  `json:"list_age"` // at the time of the view
	Saturation         float64 `json:"stress"`
	QueuedEntries      int     `json:"queue_lines"`
	QueueLimit         int     `json:"queue_limit"`
}

// safeModeEnded is the value of a console's JSON once safe mode has ended.
const safeModeEnded = "open"

// SafeModeEnded reports whether weights follow load reports.
func (r controllerRow) SafeModeEnded() bool {
	return r.SafeMode == safeModeEnded
}

// SafeModeLabel returns the state of safe mode as text for the overview. It is empty if the controller never
// responded.
func (r controllerRow) SafeModeLabel() string {
	switch {
	case r.SafeMode == "":
		return ""
	case r.SafeModeEnded():
		return "ended"
	default:
		return "on"
	}
}

// disagreementRow is a disagreement and its duration.
type disagreementRow struct {
	disagreement
	Duration     string `json:"stands_for"`
	IsPersistent bool   `json:"standing"`
}

func (s *Server) overview(now model.Microseconds, controllers []polledController) overviewBody {
	body := overviewBody{Controllers: []controllerRow{}, Disagreements: []disagreementRow{}}
	for i := range controllers {
		body.Controllers = append(body.Controllers, newControllerRow(now, &controllers[i]))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body.ComparedCount = s.comparedCount
	for i := range s.disagreements {
		row := newDisagreementRow(now, s.disagreements[i])
		if row.IsPersistent {
			body.PersistentCount++
		}
		if len(body.Disagreements) < maxShownDisagreements {
			body.Disagreements = append(body.Disagreements, row)
		} else {
			body.OmittedDisagreements++
		}
	}
	return body
}

func newControllerRow(now model.Microseconds, controller *polledController) controllerRow {
	row := controllerRow{
		Address: controller.address,
		Name:    controller.address,
		ViewAge: "never",
		Recent:  controller.isRecent(now),
		Error:   controller.lastError,
	}
	view := controller.view
	if view == nil {
		return row
	}
	row.Name = view.name
	row.ViewAge = console.FormatAge(now, controller.receivedAt)
	row.Incarnation = view.incarnation
	row.Version = view.version
	row.SafeMode = view.safeMode
	row.UnreportedReplicas = view.unreportedReplicas
	row.ConnectedProxies = view.connectedProxies
	row.BoundProxies = view.boundProxies
	row.ReadyReplicas = view.readyReplicas
	row.EndpointListAge = view.endpointListAge
	row.Saturation = view.saturation
	row.QueuedEntries = view.queuedEntries
	row.QueueLimit = view.queueLimit
	return row
}

func newDisagreementRow(now model.Microseconds, source disagreement) disagreementRow {
	return disagreementRow{
		disagreement: source,
		Duration:     (now - source.Since).Duration().Round(durationPrecision).String(),
		IsPersistent: source.isPersistent(now),
	}
}
