package console

import (
	"net/http"
	"strings"
	"sync"
	"time"

	"peppervale/internal/cluster"
	"peppervale/internal/console/httpserver"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

const (
	// maxRows bounds the rows of a page's table.
	maxRows = 5000

	// sampleInterval is the time between two points of a time series.
	sampleInterval = time.Second
)

// Source provides the state of the controller and the channel that the console shows.
type Source interface {
	// View returns the newest view and causes no work in the event loop. The view is nil before the event loop's first
	// step.
	View() *controller.View
	// DetailedView returns the newest view, and requests that the event loop add details to its next views.
	DetailedView() *controller.View
	// Decisions returns up to limit decisions that match, newest first.
	Decisions(limit int, match func(*controller.Decision) bool) []controller.Decision
	Stats() pubsub.Stats
}

// Instance holds the properties of a controller that do not change while it runs.
type Instance struct {
	Name        string
	Incarnation uint64
	Zones       []string
	Operations  []string
	// Settings returns the names and values of the settings in force, in the order of the configuration file.
	Settings func() [][2]string
	// PreviousSnapshot is the last pubsub.Snapshot of the previous incarnation, as JSON; nil if unknown.
	PreviousSnapshot []byte
	QueueLimit       int // entries
	Limits           httpserver.Limits
	Now              func() model.Microseconds
	// Cluster returns the status of the cluster; nil for a controller that is not a member of one.
	Cluster func() cluster.Status
}

// Server serves one controller's pages. It is created by Listen.
type Server struct {
	instance   Instance
	source     Source
	http       *httpserver.Server
	metrics    http.Handler
	sampleLoop sync.WaitGroup

	mu          sync.Mutex
	samples     []sample
	openStreams int // open live streams
}

// Listen listens on the address and serves until Close. It fails only if it cannot listen on the address.
func Listen(address string, instance Instance, source Source) (*Server, error) {
	server, err := httpserver.Listen(address, instance.Limits)
	if err != nil {
		return nil, err
	}
	s := &Server{instance: instance, source: source, http: server, metrics: newMetricsHandler(instance, source, server)}
	s.http.Serve(s.serve, s.serveLive)
	s.sampleLoop.Add(1)
	go s.collectSamples()
	return s, nil
}

// Addr returns the address that the console listens on.
func (s *Server) Addr() string {
	return s.http.Addr()
}

// Close stops the server and ends its live streams.
func (s *Server) Close() {
	s.http.Close()
	s.sampleLoop.Wait()
}

// serve serves every path except that of the live stream.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	section, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case section == "plot":
		s.servePlot(w, name)
	case section == "ready" && name == "":
		s.serveReadiness(w)
	case section == "metrics" && name == "":
		s.metrics.ServeHTTP(w, r)
	default:
		s.servePage(w, r, section, name)
	}
}

// serveReadiness responds to health checks: ready once safe mode has ended and a full endpoint list was received.
func (s *Server) serveReadiness(w http.ResponseWriter) {
	view := s.source.View()
	switch {
	case view == nil || !view.SafeModeEnded:
		httpserver.WriteText(w, http.StatusServiceUnavailable, "safe mode: load reports are awaited")
	case view.EndpointsAt == 0:
		httpserver.WriteText(w, http.StatusServiceUnavailable, "no endpoint list was received in this incarnation")
	default:
		httpserver.WriteText(w, http.StatusOK, "ready")
	}
}

// zoneName returns the name of a zone, or its number if it has none.
func (s *Server) zoneName(zone int) string {
	return nameOrIndex(s.instance.Zones, zone)
}
