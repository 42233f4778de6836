//go:build review2

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"peppervale/internal/codec/consulcatalog"
)

// registry is a sound agent of Consul: it answers /v1/health/service/recipe, with blocking queries.
type registry struct {
	bed     *testbed
	address string

	mu      sync.Mutex
	index   uint64
	changed chan struct{}
	entries []listed
	told    map[string][]telling // by the name in the User-Agent
}

// listed is one replica of the list. Without a start time a replica has been up for long.
type listed struct {
	replica, zone string
	draining      bool
}

// telling is a list that was written to an instance.
type telling struct {
	at      time.Duration
	entries []listed
}

func startRegistry(bed *testbed, entries []listed) *registry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(couldNot{err.Error()})
	}
	r := &registry{
		bed: bed, address: listener.Addr().String(), index: 100, changed: make(chan struct{}),
		entries: entries, told: map[string][]telling{},
	}
	server := &http.Server{Handler: http.HandlerFunc(r.answer), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	bed.note("registry on %s lists %d replicas", r.address, len(entries))
	return r
}

// set replaces the list.
func (r *registry) set(what string, entries []listed) {
	r.mu.Lock()
	r.entries = slices.Clone(entries)
	r.index++
	close(r.changed)
	r.changed = make(chan struct{})
	r.mu.Unlock()
	r.bed.note("registry: %s", what)
}

// drain marks replicas as in maintenance, and all others as ready.
func (r *registry) drain(what string, replicas ...string) {
	r.mu.Lock()
	next := slices.Clone(r.entries)
	r.mu.Unlock()
	for i := range next {
		next[i].draining = slices.Contains(replicas, next[i].replica)
	}
	r.set(what, next)
}

func (r *registry) answer(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != "/v1/health/service/recipe" {
		http.NotFound(writer, request)
		return
	}
	index, _ := strconv.ParseUint(request.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(request.URL.Query().Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	timeout := time.After(wait)
	r.mu.Lock()
	for index != 0 && index == r.index {
		changed := r.changed
		r.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-request.Context().Done():
			return
		}
		r.mu.Lock()
		if expired {
			break
		}
	}
	current := r.index
	entries := slices.Clone(r.entries)
	name := strings.TrimPrefix(request.UserAgent(), "peppervale/")
	r.told[name] = append(r.told[name], telling{r.bed.now(), entries})
	r.mu.Unlock()
	body := encodeList(entries)
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("X-Consul-Index", strconv.FormatUint(current, 10))
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = writer.Write(body)
	draining := 0
	for _, entry := range entries {
		if entry.draining {
			draining++
		}
	}
	r.bed.log("registry told %s: index %d, %d ready, %d draining", name, current, len(entries)-draining, draining)
}

func encodeList(entries []listed) []byte {
	catalog := []consulcatalog.ServiceEntry{}
	for _, entry := range entries {
		host, portText, _ := strings.Cut(entry.replica, ":")
		port, _ := strconv.Atoi(portText)
		id := "recipe-" + portText
		service := consulcatalog.ServiceEntry{
			Node: consulcatalog.Node{Node: "node-" + portText, Address: host},
			Service: consulcatalog.Service{
				ID: id, Service: "recipe", Address: host, Port: port, Meta: map[string]string{"zone": entry.zone},
			},
			Checks: []consulcatalog.Check{{Node: "node-" + portText, CheckID: "serfHealth", Status: "passing"}},
		}
		if entry.draining {
			service.Checks = append(service.Checks, consulcatalog.Check{
				Node: "node-" + portText, CheckID: "_service_maintenance:" + id, Status: "critical",
			})
		}
		catalog = append(catalog, service)
	}
	body, _ := json.Marshal(catalog)
	return body
}

// lists returns what an instance was told.
func (r *registry) lists(instance string) []telling {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.told[instance])
}
