package console

import (
	"embed"
	"errors"
	"fmt"
	"html/template"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"peppervale/internal/cluster"
	"peppervale/internal/console/httpserver"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

// Source is what the console reads; governor.Host and channel.Server are the real ones.
type Source interface {
	View() *controller.View         // costs nothing
	DetailedView() *controller.View // asks for looks, for pages
	Decisions(most int, match func(*controller.Decision) bool) []controller.Decision
	Stats() pubsub.Stats
}

// Instance is what does not change while a governor runs.
type Instance struct {
	Name             string
	Incarnation      uint64
	Zones            []string
	Operations       []string
	Settings         func() [][2]string // in force now: name and value, in the file's order
	PreviousSnapshot []byte             // what the life before last published, a channel.Picture in JSON; nil if none is known
	QueueLimit       int
	Now              func() model.Microseconds
	Cluster          func() cluster.Status // nil: it shares the fleet with nobody
}

// Bounds on viewers.
const (
	streamsMost = 256  // live streams
	rowsMost    = 5000 // of a table on one page
	historyMost = 900  // seconds on the time line
)

//go:embed pages.html
var files embed.FS

// Style is the look of all consoles' pages.
//
//go:embed style.css
var Style template.CSS

var pages = template.Must(template.New("").Funcs(template.FuncMap{"share": percent, "seconds": seconds, "figure": figure, "style": func() template.CSS { return Style }}).ParseFS(files, "pages.html"))

// Server serves one governor's pages. Make it with Listen.
type Server struct {
	about Instance
	from  Source
	frame *httpserver.Server
	wait  sync.WaitGroup

	mu      sync.Mutex
	history []sample
	streams int
	metrics http.Handler
}

// sample is a second on the time line.
type sample struct {
	At                        model.Microseconds
	Joined, Ready, Queue      int
	Messages, Lines, SumFolds uint64
}

// Listen opens the address and serves until Close.
func Listen(address string, about Instance, from Source) (*Server, error) {
	s := &Server{about: about, from: from, metrics: newMetrics(about, from)}
	var err error
	if s.frame, err = httpserver.Listen(address, s.serve, s.live); err != nil {
		return nil, err
	}
	s.wait.Add(1)
	go s.sampleOn()
	return s, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() string { return s.frame.Addr() }

// Close ends it; live streams end too.
func (s *Server) Close() {
	s.frame.Close()
	s.wait.Wait()
}

func (s *Server) sampleOn() {
	defer s.wait.Done()
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-s.frame.Done():
			return
		case <-tick.C:
			s.sample()
		}
	}
}

// sample costs a few figures a second; it does not ask for a look.
func (s *Server) sample() {
	st := s.from.Stats()
	one := sample{At: s.about.Now(), Joined: st.Forwarders, Queue: st.Queue, Messages: st.Messages, Lines: st.Lines}
	if v := s.from.View(); v != nil {
		one.Ready, one.SumFolds = v.ReadyReplicas, v.MergedReports
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, one)
	if len(s.history) > historyMost {
		s.history = slices.Delete(s.history, 0, len(s.history)-historyMost)
	}
}

// page is what a template is given, and what JSON shows.
type page struct {
	Title string             `json:"title"`
	Kind  string             `json:"-"`
	About Instance           `json:"-"`
	Name  string             `json:"governor"`
	Life  uint64             `json:"life"`
	At    model.Microseconds `json:"at_us"`  // of the view
	Age   string             `json:"age"`    // of the view when the page was made
	Now   model.Microseconds `json:"now_us"` // when it was made
	View  *controller.View   `json:"-"`
	Stats pubsub.Stats       `json:"channel"`
	Body  any                `json:"body"`
}

// Shares tells whether this governor shares the fleet out with others.
func (p *page) Shares() bool { return p.About.Cluster != nil }

// errNone is a page about what is not there.
var errNone = errors.New("there is none")

// routes are the pages by the first part of their path.
var routes = map[string]struct {
	title string
	make  func(s *Server, p *page, rest string, r *http.Request) (any, error)
}{
	"":           {"Overview", (*Server).overview},
	"zones":      {"Zones", (*Server).zones},
	"replicas":   {"Replicas", (*Server).replicas},
	"forwarders": {"Forwarders", (*Server).forwarders},
	"tables":     {"Tables", (*Server).tables},
	"orders":     {"Orders and their causes", (*Server).orders},
	"settings":   {"Settings in force", (*Server).settings},
	"before":     {"What the life before published", (*Server).before},
	"group":      {"The group", (*Server).group},
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	first, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case first == "plot":
		s.plot(w, rest)
		return
	case first == "ready" && rest == "":
		s.ready(w)
		return
	case first == "metrics" && rest == "":
		s.metrics.ServeHTTP(w, r)
		return
	}
	route, known := routes[first]
	if !known {
		httpserver.WriteText(w, http.StatusNotFound, "no page here; there are / /zones /replicas /forwarders /tables /orders /settings /before /group")
		return
	}
	// The first to look for a while waits for a step that carries a look: five a second, if the governor steps at all.
	v := s.from.DetailedView()
	for k := 0; first != "group" && k < 10 && (v == nil || v.Detail == nil || s.about.Now()-v.Detail.At > model.Second); k++ {
		select {
		case <-time.After(50 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		v = s.from.DetailedView()
	}
	if first == "group" && (v == nil || v.Detail == nil) { // a governor that stands by has not begun to step
		v = &controller.View{Detail: &controller.Detail{}}
	}
	if v == nil || v.Detail == nil {
		w.Header().Set("Retry-After", "1")
		why := "the governor has not finished a step since it started, or for a second; come back in a second"
		if v == nil && s.about.Cluster != nil {
			why = "this governor stands by: it holds no part of the fleet yet; see /group"
		}
		httpserver.WriteText(w, http.StatusServiceUnavailable, why)
		return
	}
	now := s.about.Now()
	p := &page{Title: route.title, Kind: first, About: s.about, Name: s.about.Name, Life: s.about.Incarnation, At: v.Detail.At, Now: now, Age: Ago(now, v.Detail.At), View: v, Stats: s.from.Stats()}
	body, err := route.make(s, p, rest, r)
	if err != nil {
		httpserver.WriteText(w, http.StatusNotFound, err.Error())
		return
	}
	p.Body = body
	if p.Kind == "" {
		p.Kind = "overview"
	}
	httpserver.WritePage(w, r, pages, p)
}

// ready is for machines: the gate is open and the list is fresh.
func (s *Server) ready(w http.ResponseWriter) {
	v := s.from.View()
	switch {
	case v == nil || !v.SafeModeEnded:
		httpserver.WriteText(w, http.StatusServiceUnavailable, "the gate is shut")
	case v.EndpointsAt == 0:
		httpserver.WriteText(w, http.StatusServiceUnavailable, "no list came in this life")
	default:
		httpserver.WriteText(w, http.StatusOK, "ready")
	}
}

// live streams a short line a second by server-sent events. A viewer that does not read is dropped at its deadline.
func (s *Server) live(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	full := s.streams >= streamsMost
	if !full {
		s.streams++
	}
	s.mu.Unlock()
	if full {
		w.Header().Set("Retry-After", "5")
		httpserver.WriteText(w, http.StatusServiceUnavailable, "many viewers hold live streams; reload by hand")
		return
	}
	defer func() {
		s.mu.Lock()
		s.streams--
		s.mu.Unlock()
	}()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	control := http.NewResponseController(w)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		st, now := s.from.Stats(), s.about.Now()
		text := fmt.Sprintf("%d forwarders, version %d, %d lines wait", st.Forwarders, st.Version, st.Queue)
		if v := s.from.View(); v != nil {
			gate := "shut"
			if v.SafeModeEnded {
				gate = "open"
			}
			text += fmt.Sprintf(", gate %s, %d of %d replicas ready, last step %s", gate, v.ReadyReplicas, v.ListedReplicas, Ago(now, v.At))
		}
		_ = control.SetWriteDeadline(time.Now().Add(httpserver.WriteTimeout))
		if _, err := fmt.Fprintf(w, "data: %s\n\n", text); err != nil || control.Flush() != nil {
			return
		}
		select {
		case <-tick.C:
		case <-r.Context().Done():
			return
		case <-s.frame.Done():
			return
		}
	}
}

// Ago tells how long ago something was, for a reader.
func Ago(now, at model.Microseconds) string {
	if at == 0 {
		return "never"
	}
	d := (now - at).Duration()
	switch {
	case d < 0:
		return "now"
	case d < 10*time.Second:
		return fmt.Sprintf("%.1f s ago", d.Seconds())
	case d < 2*time.Hour:
		return d.Round(time.Second).String() + " ago"
	}
	return d.Round(time.Minute).String() + " ago"
}

func percent(f float64) string { return strconv.FormatFloat(100*f, 'f', 0, 64) + "%" }

func seconds(m model.Microseconds) float64 { return float64(m) / float64(model.Second) }

func figure(f float64) string { return strconv.FormatFloat(f, 'g', 3, 64) }

func (s *Server) zone(n int) string {
	if n >= 0 && n < len(s.about.Zones) {
		return s.about.Zones[n]
	}
	return strconv.Itoa(n)
}
