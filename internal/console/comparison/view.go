package comparison

import (
	"encoding/json"
	"errors"
	"fmt"

	"peppervale/internal/model"
)

// maxRows bounds the rows of one page. A console sends no more; a page with more rows is rejected.
const maxRows = 5000

// errNotAConsole is returned for pages that are valid JSON but not the pages of a console.
var errNotAConsole = errors.New("its overview names no governor or no gate; is it a peppervale console?")

// reportedView is the state of one controller, as its console reported it. It is immutable.
type reportedView struct {
	name               string
	incarnation        uint64
	version            uint64
	at                 model.Microseconds // by the controller's clock
	safeMode           string             // "shut" in safe mode, "open" after it
	unreportedReplicas int                // replicas that safe mode waits for load reports from
	connectedProxies   int
	boundProxies       int
	readyReplicas      int // listed as ready
	endpointListAge    string
	saturation         float64
	queuedEntries      int
	queueLimit         int
	replicas           map[string]reportedReplica // by address
	proxies            map[string]reportedProxy   // by name
}

// reportedReplica is a row of a console's list of replicas.
type reportedReplica struct {
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	ListedStatus    string  `json:"listed"`
	State           string  `json:"state"`
	Withdrawn       bool    `json:"withdrawn"`
	SlowStartFactor float64 `json:"part"`
	ErrorRate       float64 `json:"errors"`
	ReportAge       string  `json:"heard"`
}

// reportedProxy is a row of a console's list of connected proxies.
type reportedProxy struct {
	Name  string `json:"name"`
	Zone  string `json:"zone"`
	Table int    `json:"table"` // -1: the proxy is not bound to a table of the controller
}

type overviewObject struct {
	Name        string             `json:"governor"`
	Incarnation uint64             `json:"life"`
	At          model.Microseconds `json:"at_us"`
	Channel     struct {
		Version       uint64 `json:"version"`
		QueuedEntries int    `json:"queue_lines"`
	} `json:"channel"`
	Body struct {
		SafeMode           string   `json:"gate"`
		UnreportedReplicas []string `json:"gate_waits_for"`
		ConnectedProxies   int      `json:"forwarders_joined"`
		BoundProxies       int      `json:"forwarders_bound"`
		ReadyReplicas      int      `json:"listed_ready"`
		EndpointListAge    string   `json:"list_age"`
		Saturation         float64  `json:"stress"`
		QueueLimit         int      `json:"queue_limit"`
	} `json:"body"`
}

type replicasObject struct {
	Body []reportedReplica `json:"body"`
}

type proxiesObject struct {
	Body []reportedProxy `json:"body"`
}

// consolePages are the JSON pages of a console that a view is parsed from.
type consolePages struct {
	overview []byte
	replicas []byte
	proxies  []byte
}

// parseView parses the pages of a console.
func parseView(pages consolePages) (*reportedView, error) {
	var overview overviewObject
	if err := parsePage("overview", pages.overview, &overview); err != nil {
		return nil, err
	}
	var replicas replicasObject
	if err := parsePage("replicas", pages.replicas, &replicas); err != nil {
		return nil, err
	}
	var proxies proxiesObject
	if err := parsePage("forwarders", pages.proxies, &proxies); err != nil {
		return nil, err
	}
	if overview.Name == "" || overview.Body.SafeMode == "" {
		return nil, errNotAConsole
	}
	if len(replicas.Body) > maxRows || len(proxies.Body) > maxRows {
		return nil, fmt.Errorf("%d replicas and %d forwarders on its pages; %d of each are taken",
			len(replicas.Body), len(proxies.Body), maxRows)
	}
	return newReportedView(&overview, replicas.Body, proxies.Body), nil
}

func parsePage(name string, text []byte, object any) error {
	if err := json.Unmarshal(text, object); err != nil {
		return fmt.Errorf("its page of %s is not a peppervale console's: %w", name, err)
	}
	return nil
}

func newReportedView(
	overview *overviewObject, replicas []reportedReplica, proxies []reportedProxy,
) *reportedView {
	view := &reportedView{
		name:               overview.Name,
		incarnation:        overview.Incarnation,
		version:            overview.Channel.Version,
		at:                 overview.At,
		safeMode:           overview.Body.SafeMode,
		unreportedReplicas: len(overview.Body.UnreportedReplicas),
		connectedProxies:   overview.Body.ConnectedProxies,
		boundProxies:       overview.Body.BoundProxies,
		readyReplicas:      overview.Body.ReadyReplicas,
		endpointListAge:    overview.Body.EndpointListAge,
		saturation:         overview.Body.Saturation,
		queuedEntries:      overview.Channel.QueuedEntries,
		queueLimit:         overview.Body.QueueLimit,
		replicas:           map[string]reportedReplica{},
		proxies:            map[string]reportedProxy{},
	}
	for _, replica := range replicas {
		view.replicas[replica.Address] = replica
	}
	for _, proxy := range proxies {
		view.proxies[proxy.Name] = proxy
	}
	return view
}
