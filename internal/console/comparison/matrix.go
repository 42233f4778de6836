package comparison

import (
	"iter"
	"maps"
	"net/url"
	"slices"
	"strings"

	"peppervale/internal/console"
	"peppervale/internal/model"
)

// matrixBody has a row for each replica or proxy and a column for each controller.
type matrixBody struct {
	Controllers []string    `json:"governors"`
	Rows        []matrixRow `json:"rows"`
	OmittedRows int         `json:"rows_left_out,omitempty"`
}

type matrixRow struct {
	Subject string       `json:"about"`
	Cells   []matrixCell `json:"cells"` // in the order of the controllers
}

// matrixCell is what one controller reports about the subject of a row. Report is empty if the controller does not know
// the subject.
type matrixCell struct {
	Report string `json:"says"`
	Link   string `json:"link"` // to the controller's own page
	Recent bool   `json:"fresh"`
}

// rowSource reads the rows of a matrix from the controllers' views.
type rowSource struct {
	path     string // of the controllers' own pages
	subjects func(view *reportedView) iter.Seq[string]
	report   func(view *reportedView, subject string) (text string, known bool)
}

var replicaRowSource = rowSource{
	path:     "/replicas/",
	subjects: func(view *reportedView) iter.Seq[string] { return maps.Keys(view.replicas) },
	report: func(view *reportedView, address string) (text string, known bool) {
		replica, known := view.replicas[address]
		return replica.describe(), known
	},
}

var proxyRowSource = rowSource{
	path:     "/forwarders/",
	subjects: func(view *reportedView) iter.Seq[string] { return maps.Keys(view.proxies) },
	report: func(view *reportedView, name string) (text string, known bool) {
		proxy, known := view.proxies[name]
		return proxy.tableName("its own tables"), known
	},
}

// matrix returns the rows whose subjects contain the filter.
func (s rowSource) matrix(now model.Microseconds, controllers []polledController, filter string) matrixBody {
	body := matrixBody{Controllers: []string{}, Rows: []matrixRow{}}
	for i := range controllers {
		body.Controllers = append(body.Controllers, columnHeading(now, &controllers[i]))
	}
	subjects := s.matchingSubjects(controllers, filter)
	if surplus := len(subjects) - maxRows; surplus > 0 {
		body.OmittedRows = surplus
		subjects = subjects[:maxRows]
	}
	for _, subject := range subjects {
		row := matrixRow{Subject: subject}
		for i := range controllers {
			row.Cells = append(row.Cells, s.cell(now, &controllers[i], subject))
		}
		body.Rows = append(body.Rows, row)
	}
	return body
}

// columnHeading returns the name of a controller, with the age of its view if the view is not recent.
func columnHeading(now model.Microseconds, controller *polledController) string {
	switch {
	case controller.view == nil:
		return controller.address
	case controller.isRecent(now):
		return controller.view.name
	default:
		return controller.view.name + ", " + console.FormatAge(now, controller.receivedAt)
	}
}

// matchingSubjects returns the subjects that any controller reports on and that contain the filter, in order.
func (s rowSource) matchingSubjects(controllers []polledController, filter string) []string {
	subjects := map[string]bool{}
	for _, controller := range controllers {
		if controller.view == nil {
			continue
		}
		for subject := range s.subjects(controller.view) {
			if strings.Contains(subject, filter) {
				subjects[subject] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(subjects))
}

func (s rowSource) cell(now model.Microseconds, controller *polledController, subject string) matrixCell {
	cell := matrixCell{Recent: controller.isRecent(now)}
	if controller.view == nil {
		return cell
	}
	if report, known := s.report(controller.view, subject); known {
		cell.Report = report
		cell.Link = controller.address + s.path + url.PathEscape(subject)
	}
	return cell
}
