package comparison

import (
	"embed"
	"html/template"
	"net/http"
	"strings"
	"sync"

	"peppervale/internal/console"
	"peppervale/internal/console/httpserver"
	"peppervale/internal/model"
)

// compareInterval is the time between two comparisons. Comparisons also run while nobody views a page, as the duration
// of a disagreement is known only if the disagreement is tracked from its start.
const compareInterval = pollInterval / 2

//go:embed templates/*.html
var templateFiles embed.FS

var templates = template.Must(template.New("").Funcs(template.FuncMap{
	"style": func() template.CSS { return console.Style },
}).ParseFS(templateFiles, "templates/*.html"))

// Server serves the comparison of several controllers. It is created by Listen.
type Server struct {
	poller      *poller
	http        *httpserver.Server
	now         func() model.Microseconds
	compareLoop sync.WaitGroup

	mu            sync.Mutex
	tracker       *tracker
	disagreements []disagreement
	comparedCount int // controllers in the newest comparison
}

// Listen listens on the address, polls the controllers' consoles, and serves until Close. It fails only if it cannot
// listen on the address.
func Listen(address string, consoleAddresses []string, now func() model.Microseconds) (*Server, error) {
	server, err := httpserver.Listen(address, httpserver.Limits{})
	if err != nil {
		return nil, err
	}
	s := &Server{now: now, http: server, tracker: newTracker(), poller: startPoller(consoleAddresses, now)}
	s.http.Serve(s.serve, nil)
	s.compareLoop.Add(1)
	go s.compareRepeatedly()
	return s, nil
}

// Addr returns the address that the console listens on.
func (s *Server) Addr() string {
	return s.http.Addr()
}

// Close stops the server and the polling.
func (s *Server) Close() {
	s.http.Close()
	s.poller.close()
	s.compareLoop.Wait()
}

func (s *Server) compareRepeatedly() {
	defer s.compareLoop.Done()
	s.http.RunEvery(compareInterval, s.compare)
}

func (s *Server) compare() {
	now := s.now()
	controllers := s.poller.snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disagreements, s.comparedCount = s.tracker.compare(now, controllers)
}

// pageModel is the data of the template "page". It is also served as JSON.
type pageModel struct {
	Title    string             `json:"title"`
	Heading  string             `json:"-"`
	Template string             `json:"-"`
	Now      model.Microseconds `json:"now_us"`
	Body     any                `json:"body"`
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	now := s.now()
	controllers := s.poller.snapshot()
	filter := r.URL.Query().Get("about")
	page := &pageModel{Now: now}
	switch strings.TrimPrefix(r.URL.Path, "/") {
	case "":
		page.Title = "Governors"
		page.Heading = "Controllers"
		page.Template = "overview"
		page.Body = s.overview(now, controllers)
	case "replicas":
		page.Title = "Replicas, as each governor believes"
		page.Heading = "Replicas, as each controller reports them"
		page.Template = "matrix"
		page.Body = replicaRowSource.matrix(now, controllers, filter)
	case "forwarders":
		page.Title = "Forwarders, and where they are joined"
		page.Heading = "Proxies, and the controllers that they are connected to"
		page.Template = "matrix"
		page.Body = proxyRowSource.matrix(now, controllers, filter)
	default:
		httpserver.WriteText(w, http.StatusNotFound, "no page here; there are / /replicas /forwarders, each with ?about=")
		return
	}
	httpserver.WritePage(w, r, templates, page)
}
