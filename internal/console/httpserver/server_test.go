package httpserver

import (
	"html/template"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// respond passes a request to a handler and returns the recorded response.
func respond(handler http.HandlerFunc, method, target string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	handler(recorder, httptest.NewRequest(method, target, nil))
	return recorder
}

func TestRequestsAreServedWithinLimitsOnly(t *testing.T) {
	page := func(w http.ResponseWriter, _ *http.Request) { WriteText(w, http.StatusOK, "a page") }
	stream := func(w http.ResponseWriter, _ *http.Request) { WriteText(w, http.StatusOK, "a stream") }
	tests := map[string]struct {
		method string
		target string
		stream http.HandlerFunc
		status int
		text   string
	}{
		"a page":                    {http.MethodGet, "/", stream, http.StatusOK, "a page"},
		"the head of a page":        {http.MethodHead, "/", stream, http.StatusOK, ""},
		"a stream":                  {http.MethodGet, "/live", stream, http.StatusOK, "a stream"},
		"a server without a stream": {http.MethodGet, "/live", nil, http.StatusOK, "a page"},
		"a POST request":            {http.MethodPost, "/", stream, http.StatusMethodNotAllowed, "read only"},
		"the longest path": {
			http.MethodGet, "/" + strings.Repeat("x", maxPathLength-1), stream, http.StatusOK, "a page",
		},
		"a path too long": {
			http.MethodGet, "/" + strings.Repeat("x", maxPathLength), stream, http.StatusRequestURITooLong, "too long",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			response := respond(boundedHandler(page, test.stream), test.method, test.target)
			if response.Code != test.status || !strings.Contains(response.Body.String(), test.text) {
				t.Errorf("response %d %s, want %d %s", response.Code, response.Body, test.status, test.text)
			}
			if response.Header().Get("Content-Security-Policy") != contentSecurityPolicy {
				t.Errorf("unexpected content security policy %q", response.Header().Get("Content-Security-Policy"))
			}
		})
	}
}

func TestPageBeyondConcurrencyLimitIsRejected(t *testing.T) {
	started := make(chan struct{})
	release := make(chan struct{})
	handler := boundedHandler(func(http.ResponseWriter, *http.Request) {
		started <- struct{}{}
		<-release
	}, nil)
	finished := make(chan int)
	for range maxConcurrentPages {
		go func() { finished <- respond(handler, http.MethodGet, "/").Code }()
	}
	for range maxConcurrentPages {
		<-started
	}
	response := respond(handler, http.MethodGet, "/")
	if response.Code != http.StatusServiceUnavailable || response.Header().Get("Retry-After") != "1" {
		t.Errorf("page beyond the limit: want status 503 and Retry-After 1, got %d, Retry-After %q",
			response.Code, response.Header().Get("Retry-After"))
	}
	close(release)
	for range maxConcurrentPages {
		if status := <-finished; status != http.StatusOK {
			t.Errorf("a page within the limit gets status %d, want 200", status)
		}
	}
}

func TestPageFormatFollowsQueryAndAcceptHeader(t *testing.T) {
	templates := template.Must(template.New("page").Parse("<p>{{.Name}}</p>"))
	page := struct {
		Name string `json:"name"`
	}{"<b>"}
	tests := map[string]struct {
		target      string
		accept      string
		contentType string
		body        string
	}{
		"HTML by default":    {"/", "text/html", contentTypeHTML, "<p>&lt;b&gt;</p>"},
		"JSON by the query":  {"/?as=json", "text/html", contentTypeJSON, "{\n \"name\": \"\\u003cb\\u003e\"\n}\n"},
		"JSON by the header": {"/", "application/json", contentTypeJSON, "{\n \"name\": \"\\u003cb\\u003e\"\n}\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodGet, test.target, nil)
			request.Header.Set("Accept", test.accept)
			response := httptest.NewRecorder()
			WritePage(response, request, templates, page)
			if response.Code != http.StatusOK || response.Body.String() != test.body {
				t.Errorf("response %d %s, want the page with status 200", response.Code, response.Body)
			}
			if got := response.Header().Get("Content-Type"); got != test.contentType {
				t.Errorf("content type %q, want %q", got, test.contentType)
			}
		})
	}
}

func TestTemplateErrorIsAnInternalServerError(t *testing.T) {
	templates := template.Must(template.New("page").Parse("<p>{{.Missing}}</p>"))
	response := httptest.NewRecorder()
	WritePage(response, httptest.NewRequest(http.MethodGet, "/", nil), templates, struct{}{})
	if response.Code != http.StatusInternalServerError || strings.Contains(response.Body.String(), "<p>") {
		t.Errorf("want status 500 and no part of the page, got %d %s", response.Code, response.Body)
	}
}

func TestCloseEndsStreamsAndStopsServing(t *testing.T) {
	server, err := Listen("127.0.0.1:0", Limits{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Listen(server.Addr(), Limits{}); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("listening on an address in use: want an error that names another process, got %v", err)
	}
	streamed := make(chan struct{})
	server.Serve(
		func(w http.ResponseWriter, _ *http.Request) { WriteText(w, http.StatusOK, "a page") },
		func(http.ResponseWriter, *http.Request) {
			close(streamed)
			<-server.Done()
		},
	)
	streamEnded := make(chan error)
	go func() {
		response, err := http.Get("http://" + server.Addr() + "/live")
		if err == nil {
			err = response.Body.Close()
		}
		streamEnded <- err
	}()
	<-streamed
	server.Close()
	if err := <-streamEnded; err != nil {
		t.Errorf("reading the stream until Close: %v", err)
	}
	if _, err := http.Get("http://" + server.Addr() + "/"); err == nil {
		t.Error("a page is served after Close")
	}
}
