package comparison

import (
	"embed"
	"fmt"
	"html/template"
	"iter"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"peppervale/internal/console"
	"peppervale/internal/console/httpserver"
	"peppervale/internal/model"
)

//go:embed pages.html
var files embed.FS

var pages = template.Must(template.New("").Funcs(template.FuncMap{"style": func() template.CSS { return console.Style }}).ParseFS(files, "pages.html"))

// Server is a console of several governors. Make it with Listen.
type Server struct {
	poller *Poller
	frame  *httpserver.Server
	now    func() model.Microseconds
	done   chan struct{}
	wait   sync.WaitGroup

	mu       sync.Mutex
	ledger   *Ledger
	compared []Disagreement
	fresh    int
	at       model.Microseconds
}

// Listen opens the address, begins to ask the governors' consoles, and serves until Close.
func Listen(address string, governors []string, now func() model.Microseconds) (*Server, error) {
	s := &Server{now: now, done: make(chan struct{}), ledger: NewLedger(), poller: NewPoller(governors, now)}
	var err error
	if s.frame, err = httpserver.Listen(address); err != nil {
		s.poller.Close()
		return nil, err
	}
	s.frame.Serve(s.serve, nil)
	s.wait.Add(1)
	go s.compareOn()
	return s, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() string { return s.frame.Addr() }

// Close ends it.
func (s *Server) Close() {
	close(s.done)
	s.frame.Close()
	s.poller.Close()
	s.wait.Wait()
}

// compareOn compares twice in a period, whether somebody looks or not: how long a disagreement stands is known only to
// who follows it.
func (s *Server) compareOn() {
	defer s.wait.Done()
	tick := time.NewTicker(period / 2)
	defer tick.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-tick.C:
		}
		now, seen := s.now(), s.poller.Seen()
		s.mu.Lock()
		s.compared, s.fresh = s.ledger.Compare(now, seen)
		s.at = now
		s.mu.Unlock()
	}
}

// page is what a template is given, and what JSON shows.
type page struct {
	Title string             `json:"title"`
	Kind  string             `json:"-"`
	Now   model.Microseconds `json:"now_us"`
	Body  any                `json:"body"`
}

// row is a governor on the overview.
type row struct {
	Address   string  `json:"address"`
	Name      string  `json:"governor"`
	Age       string  `json:"last_known"`
	Fresh     bool    `json:"fresh"`
	Error     string  `json:"error,omitempty"`
	Life      uint64  `json:"life"`
	Version   uint64  `json:"version"`
	Gate      string  `json:"gate"`
	Waits     int     `json:"gate_waits_for"`
	Joined    int     `json:"forwarders_joined"`
	Bound     int     `json:"forwarders_bound"`
	Ready     int     `json:"listed_ready"`
	List      string  `json:"list_age"` // when it said so
	Stress    float64 `json:"stress"`
	Queue     int     `json:"queue_lines"`
	QueueMost int     `json:"queue_limit"`
}

type overview struct {
	Governors     []row            `json:"governors"`
	Compared      int              `json:"compared"`
	Standing      int              `json:"standing"`
	Cut           int              `json:"disagreements_left_out,omitempty"`
	Disagreements []disagreementAt `json:"disagreements"`
}

type disagreementAt struct {
	Disagreement
	For      string `json:"stands_for"`
	Standing bool   `json:"standing"`
}

// cell is what one governor says of one replica or forwarder.
type cell struct {
	Says  string `json:"says"`
	Link  string `json:"link"`
	Fresh bool   `json:"fresh"`
}

type matrix struct {
	Governors []string    `json:"governors"`
	Rows      []matrixRow `json:"rows"`
	Cut       int         `json:"rows_left_out,omitempty"`
}

type matrixRow struct {
	About string `json:"about"`
	Cells []cell `json:"cells"`
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	p := &page{Now: s.now()}
	seen := s.poller.Seen()
	only := r.URL.Query().Get("about")
	switch strings.TrimPrefix(r.URL.Path, "/") {
	case "":
		p.Title, p.Kind, p.Body = "Governors", "overview", s.overview(p.Now, seen)
	case "replicas":
		p.Title, p.Kind, p.Body = "Replicas, as each governor believes", "matrix", table(p.Now, seen, only, func(b *Belief) iter.Seq[string] {
			return maps.Keys(b.Replicas)
		}, func(b *Belief, address, about string) (cell, bool) {
			r, known := b.Replicas[about]
			says := r.State + ", listed " + r.Listed
			if r.Withdrawn {
				says += ", withdrawn"
			}
			return cell{Says: says, Link: address + "/replicas/" + url.PathEscape(about)}, known
		})
	case "forwarders":
		p.Title, p.Kind, p.Body = "Forwarders, and where they are joined", "matrix", table(p.Now, seen, only, func(b *Belief) iter.Seq[string] {
			return maps.Keys(b.Forwarders)
		}, func(b *Belief, address, about string) (cell, bool) {
			f, known := b.Forwarders[about]
			says := "its own tables"
			if f.Table >= 0 {
				says = fmt.Sprintf("table %d", f.Table)
			}
			return cell{Says: says, Link: address + "/forwarders/" + url.PathEscape(about)}, known
		})
	default:
		httpserver.WriteText(w, http.StatusNotFound, "no page here; there are / /replicas /forwarders, each with ?about=")
		return
	}
	httpserver.WritePage(w, r, pages, p)
}

func (s *Server) overview(now model.Microseconds, seen []Seen) overview {
	o := overview{Governors: []row{}, Disagreements: []disagreementAt{}}
	for _, g := range seen {
		one := row{Address: g.Address, Name: g.Address, Age: "never", Error: g.Error, Fresh: g.Belief != nil && now-g.At <= freshFor}
		if b := g.Belief; b != nil {
			one.Name, one.Age, one.Life, one.Version, one.Gate, one.Waits = b.Name, console.FormatAge(now, g.At), b.Life, b.Version, b.Gate, b.Waits
			one.Joined, one.Bound, one.Ready, one.List, one.Stress, one.Queue, one.QueueMost = b.Joined, b.Bound, b.Ready, b.List, b.Stress, b.Queue, b.QueueMost
		}
		o.Governors = append(o.Governors, one)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o.Compared = s.fresh
	for i := range s.compared {
		d := &s.compared[i]
		if d.Standing(now) {
			o.Standing++
		}
		if len(o.Disagreements) < rowsShown {
			o.Disagreements = append(o.Disagreements, disagreementAt{*d, (now - d.Since).Duration().Round(100 * time.Millisecond).String(), d.Standing(now)})
		} else {
			o.Cut++
		}
	}
	return o
}

func table(now model.Microseconds, seen []Seen, only string, of func(*Belief) iter.Seq[string], says func(b *Belief, address, about string) (cell, bool)) matrix {
	m := matrix{Governors: []string{}, Rows: []matrixRow{}}
	names := map[string]bool{}
	for _, g := range seen {
		head := g.Address
		if g.Belief != nil {
			head = g.Belief.Name
			if now-g.At > freshFor {
				head += ", " + console.FormatAge(now, g.At)
			}
			for n := range of(g.Belief) {
				if strings.Contains(n, only) {
					names[n] = true
				}
			}
		}
		m.Governors = append(m.Governors, head)
	}
	all := slices.Sorted(maps.Keys(names))
	if len(all) > rowsMost {
		m.Cut, all = len(all)-rowsMost, all[:rowsMost]
	}
	for _, about := range all {
		one := matrixRow{About: about}
		for _, g := range seen {
			c := cell{}
			if g.Belief != nil {
				if told, known := says(g.Belief, g.Address, about); known {
					c = told
				}
				c.Fresh = now-g.At <= freshFor
			}
			one.Cells = append(one.Cells, c)
		}
		m.Rows = append(m.Rows, one)
	}
	return m
}
