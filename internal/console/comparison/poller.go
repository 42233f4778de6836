package comparison

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"peppervale/internal/model"
)

const (
	pollInterval   = time.Second
	requestTimeout = 3 * time.Second // of each of a poll's requests

	// maxPageBytes bounds one page. A console's largest page, that of 5,000 proxies, has about 2 MB.
	maxPageBytes = 16 << 20

	// maxConnections bounds the connections to one console.
	maxConnections = 2

	idleTimeout = 30 * time.Second
)

// polledController is the newest view of one controller and the results of its polls.
type polledController struct {
	address    string             // URL of its console
	view       *reportedView      // the newest view; nil if no poll has succeeded
	receivedAt model.Microseconds // when the view was received, by the clock of this program
	lastError  string             // of the newest poll; empty if it succeeded
	polls      uint64
	failures   uint64
}

// isRecent reports whether the view is new enough to be compared.
func (c *polledController) isRecent(now model.Microseconds) bool {
	return c.view != nil && now-c.receivedAt <= maxViewAge
}

// poller polls the consoles of controllers, each in a goroutine of its own, so that a console that hangs does not delay
// the polls of other consoles. It is created by startPoller.
type poller struct {
	now       func() model.Microseconds
	client    *http.Client
	cancel    context.CancelFunc
	pollLoops sync.WaitGroup

	mu          sync.Mutex
	controllers []polledController
}

// startPoller starts to poll the consoles at the addresses. Each address is host:port or a URL.
func startPoller(addresses []string, now func() model.Microseconds) *poller {
	ctx, cancel := context.WithCancel(context.Background())
	transport := &http.Transport{MaxConnsPerHost: maxConnections, IdleConnTimeout: idleTimeout}
	p := &poller{
		now:    now,
		client: &http.Client{Timeout: requestTimeout, Transport: transport},
		cancel: cancel,
	}
	for _, address := range addresses {
		p.controllers = append(p.controllers, polledController{address: consoleURL(address)})
	}
	for i := range addresses {
		p.pollLoops.Add(1)
		go p.pollRepeatedly(ctx, i)
	}
	return p
}

func consoleURL(address string) string {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return strings.TrimSuffix(address, "/")
}

// close stops the polling and waits for polls in progress.
func (p *poller) close() {
	p.cancel()
	p.pollLoops.Wait()
	p.client.CloseIdleConnections()
}

// snapshot returns the current state of all controllers, in the order of their addresses.
func (p *poller) snapshot() []polledController {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.controllers)
}

func (p *poller) pollRepeatedly(ctx context.Context, index int) {
	defer p.pollLoops.Done()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		p.poll(ctx, index)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// poll polls one console once. A failed poll keeps the view of the last successful one.
func (p *poller) poll(ctx context.Context, index int) {
	p.mu.Lock()
	address := p.controllers[index].address
	p.mu.Unlock()
	view, err := p.fetchView(ctx, address)
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	controller := &p.controllers[index]
	controller.polls++
	if err != nil {
		controller.failures++
		controller.lastError = err.Error()
		return
	}
	controller.view = view
	controller.receivedAt = p.now()
	controller.lastError = ""
}

func (p *poller) fetchView(ctx context.Context, address string) (*reportedView, error) {
	overview, err := p.fetchPage(ctx, address+"/?as=json")
	if err != nil {
		return nil, err
	}
	replicas, err := p.fetchPage(ctx, address+"/replicas?as=json")
	if err != nil {
		return nil, err
	}
	proxies, err := p.fetchPage(ctx, address+"/forwarders?as=json")
	if err != nil {
		return nil, err
	}
	return parseView(consolePages{overview: overview, replicas: replicas, proxies: proxies})
}

func (p *poller) fetchPage(ctx context.Context, url string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body was read, or the read error is returned
	text, err := io.ReadAll(io.LimitReader(response.Body, maxPageBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(text) > maxPageBytes:
		return nil, fmt.Errorf("%s: more than %d bytes", url, maxPageBytes)
	case response.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %s: %.200s", url, response.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}
