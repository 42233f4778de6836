package console

import (
	"context"
	"embed"
	"errors"
	"html/template"
	"net/http"
	"net/url"
	"time"

	"peppervale/internal/console/httpserver"
	"peppervale/internal/controller"
	"peppervale/internal/model"
	"peppervale/internal/pubsub"
)

const (
	// A page waits up to maxDetailPolls times detailPollInterval for a view with recent details. While pages request
	// details, the event loop adds them to its views five times a second.
	maxDetailPolls     = 10
	detailPollInterval = 50 * time.Millisecond

	// maxDetailAge is the age of details beyond which a page waits for newer ones.
	maxDetailAge = model.Second
)

//go:embed templates/*.html
var templateFiles embed.FS

// Style is the style sheet of the pages of all consoles.
//
//go:embed style.css
var Style template.CSS

var templates = template.Must(template.New("").Funcs(template.FuncMap{
	"style":   func() template.CSS { return Style },
	"plots":   func() []string { return overviewPlots },
	"percent": formatPercent,
	"number":  formatNumber,
	"seconds": toSeconds,
}).ParseFS(templateFiles, "templates/*.html"))

// errNotFound is wrapped by the errors of pages about items that do not exist.
var errNotFound = errors.New("not found")

// pageModel is the data of the template "page". It is also served as JSON.
type pageModel struct {
	Title       string             `json:"title"`
	Heading     string             `json:"-"`
	Template    string             `json:"-"`
	InCluster   bool               `json:"-"`
	Name        string             `json:"governor"`
	Incarnation uint64             `json:"life"`
	ViewAt      model.Microseconds `json:"at_us"`
	ViewAge     string             `json:"age"` // at the time of the request
	Now         model.Microseconds `json:"now_us"`
	View        *controller.View   `json:"-"`
	Stats       pubsub.Stats       `json:"channel"`
	Body        any                `json:"body"`
}

// PublishedVersion returns the version that the channel has published.
func (p *pageModel) PublishedVersion() uint64 {
	return p.Stats.Version
}

// route is the page of a section, and the pages about single items of the section.
type route struct {
	title    string // served as JSON; must not change
	heading  string
	template string
	list     func(s *Server, page *pageModel, query url.Values) any
	// detail returns the body of the page of one item, and sets that page's title, heading and template. It is nil if
	// items have no pages.
	detail func(s *Server, page *pageModel, name string) (any, error)
}

// clusterSection is the section whose page needs no view.
const clusterSection = "group"

// routes are the sections by the first segment of their paths.
var routes = map[string]route{
	"": {
		title: "Overview", heading: "Overview", template: "overview",
		list: (*Server).overviewPage,
	},
	"zones": {
		title: "Zones", heading: "Zones", template: "zones",
		list: (*Server).zonesPage,
	},
	"replicas": {
		title: "Replicas", heading: "Replicas", template: "replicas",
		list: (*Server).replicasPage, detail: (*Server).replicaPage,
	},
	"forwarders": {
		title: "Forwarders", heading: "Proxies", template: "proxies",
		list: (*Server).proxiesPage, detail: (*Server).proxyPage,
	},
	"tables": {
		title: "Tables", heading: "Tables", template: "tables",
		list: (*Server).tablesPage, detail: (*Server).tablePage,
	},
	"orders": {
		title: "Orders and their causes", heading: "Decision log", template: "decisions",
		list: (*Server).decisionsPage,
	},
	"settings": {
		title: "Settings in force", heading: "Settings in force", template: "settings",
		list: (*Server).settingsPage,
	},
	"before": {
		title: "What the life before published", heading: "Published by the previous incarnation", template: "previous",
		list: (*Server).previousPage,
	},
	clusterSection: {
		title: "The group", heading: "Cluster", template: "cluster",
		list: (*Server).clusterPage,
	},
}

// servePage serves the page of a section, or of one item in it if a name is given.
func (s *Server) servePage(w http.ResponseWriter, r *http.Request, section, name string) {
	route, known := routes[section]
	if !known {
		httpserver.WriteText(w, http.StatusNotFound, "no page here; there are "+
			"/ /zones /replicas /forwarders /tables /orders /settings /before /group")
		return
	}
	view, err := s.viewOf(r.Context(), section)
	if err != nil {
		return // the viewer has disconnected
	}
	if !hasDetail(view) {
		w.Header().Set("Retry-After", "1")
		httpserver.WriteText(w, http.StatusServiceUnavailable, s.noViewReason(view))
		return
	}
	page := s.newPage(route, view)
	body, err := route.body(s, page, name, r.URL.Query())
	if err != nil {
		httpserver.WriteText(w, http.StatusNotFound, err.Error())
		return
	}
	page.Body = body
	httpserver.WritePage(w, r, templates, page)
}

// viewOf returns the view that the page of a section is rendered from: one with recent details or, if none arrives in
// time, the newest one, which may be nil. The page of the cluster needs no view, as the event loop of a controller on
// standby has not started. The error is that of the context.
func (s *Server) viewOf(ctx context.Context, section string) (*controller.View, error) {
	view := s.source.DetailedView()
	if section != clusterSection {
		return s.awaitDetail(ctx, view)
	}
	if !hasDetail(view) {
		return &controller.View{Detail: &controller.Detail{}}, nil
	}
	return view, nil
}

func hasDetail(view *controller.View) bool {
	return view != nil && view.Detail != nil
}

// awaitDetail returns a view with recent details or, if none arrives in time, the newest view. The error is that of
// the context.
func (s *Server) awaitDetail(ctx context.Context, view *controller.View) (*controller.View, error) {
	for range maxDetailPolls {
		if hasDetail(view) && s.instance.Now()-view.Detail.At <= maxDetailAge {
			return view, nil
		}
		select {
		case <-time.After(detailPollInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		view = s.source.DetailedView()
	}
	return view, nil
}

// noViewReason returns a message that explains why no page can be shown.
func (s *Server) noViewReason(view *controller.View) string {
	if view == nil && s.instance.Cluster != nil {
		return "this controller is on standby: it holds no shard yet; see /group"
	}
	return "the controller has not finished a step since it started, or for a second; retry in a second"
}

func (s *Server) newPage(route route, view *controller.View) *pageModel {
	now := s.instance.Now()
	return &pageModel{
		Title:       route.title,
		Heading:     route.heading,
		Template:    route.template,
		InCluster:   s.instance.Cluster != nil,
		Name:        s.instance.Name,
		Incarnation: s.instance.Incarnation,
		ViewAt:      view.Detail.At,
		ViewAge:     FormatAge(now, view.Detail.At),
		Now:         now,
		View:        view,
		Stats:       s.source.Stats(),
	}
}

func (r route) body(s *Server, page *pageModel, name string, query url.Values) (any, error) {
	if name == "" {
		return r.list(s, page, query), nil
	}
	if r.detail == nil {
		return nil, errNotFound
	}
	return r.detail(s, page, name)
}
