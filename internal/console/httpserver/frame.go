// Package frame serves read-only pages within bounds: so many at once, so long addresses, nobody who does not read is waited
// for. Each page is HTML, or JSON under the same address.
//
// Caveat: there is no login. What listens beyond loopback shows all that it knows to whoever asks.
package httpserver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"html/template"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds on viewers.
const (
	requestsMost = 64 // pages in work at once; more are told to come back
	pathMost     = 1024
	// WriteFor is how long a viewer may take to read a page, or a line of a stream.
	WriteFor = 5 * time.Second
)

// Server serves pages. Make it with Listen.
type Server struct {
	http    *http.Server
	address string
	work    chan struct{}
	wait    sync.WaitGroup
	// Done is closed as it ends; streams end by it.
	Done chan struct{}
}

// Listen opens the address and serves until Close. Page makes a page; stream, if any, answers /live and has no bound on how
// long it takes. Errors are those of the address.
func Listen(address string, page, stream http.HandlerFunc) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("console: %w; another process may have the address", err)
	}
	s := &Server{address: l.Addr().String(), work: make(chan struct{}, requestsMost), Done: make(chan struct{})}
	s.http = &http.Server{Handler: s.bounded(page, stream), ReadHeaderTimeout: WriteFor, IdleTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
	s.wait.Add(1)
	go func() {
		defer s.wait.Done()
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Addr is the address that it listens on.
func (s *Server) Addr() string { return s.address }

// Close ends it; streams end too.
func (s *Server) Close() {
	close(s.Done)
	ctx, cancel := context.WithTimeout(context.Background(), WriteFor)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
	s.wait.Wait()
}

func (s *Server) bounded(page, stream http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		head := w.Header()
		head.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'; img-src 'self'; script-src 'unsafe-inline'; connect-src 'self'")
		head.Set("X-Content-Type-Options", "nosniff")
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteFor))
		switch {
		case r.Method != http.MethodGet && r.Method != http.MethodHead:
			http.Error(w, "this console is read only", http.StatusMethodNotAllowed)
			return
		case len(r.URL.Path) > pathMost:
			http.Error(w, "a shorter address, please", http.StatusRequestURITooLong)
			return
		case r.URL.Path == "/live" && stream != nil:
			stream(w, r)
			return
		}
		select {
		case s.work <- struct{}{}:
			defer func() { <-s.work }()
		default:
			head.Set("Retry-After", "1")
			http.Error(w, "many pages are being made; come back in a second", http.StatusServiceUnavailable)
			return
		}
		page(w, r)
	}
}

// Fail answers with a line of text.
func Fail(w http.ResponseWriter, status int, why string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = fmt.Fprintln(w, why)
}

// Write answers with a page: by the template "page", or as JSON if the request asks for that.
func Write(w http.ResponseWriter, r *http.Request, by *template.Template, page any) {
	var out bytes.Buffer
	var err error
	kind := "text/html; charset=utf-8"
	if r.URL.Query().Get("as") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json") {
		kind = "application/json"
		encoder := json.NewEncoder(&out)
		encoder.SetIndent("", " ")
		err = encoder.Encode(page)
	} else {
		err = by.ExecuteTemplate(&out, "page", page)
	}
	if err != nil {
		Fail(w, http.StatusInternalServerError, "the page could not be made: "+err.Error())
		return
	}
	w.Header().Set("Content-Type", kind)
	w.Header().Set("Cache-Control", "no-store")
	_, _ = w.Write(out.Bytes())
}
