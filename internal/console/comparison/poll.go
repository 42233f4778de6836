package comparison

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"peppervale/internal/model"
)

// Bounds of the asking. A console's largest page at 5,000 forwarders is about 2 MB.
const (
	period    = time.Second
	answerIn  = 3 * time.Second
	pageBytes = 16 << 20
)

// Poller asks governors' consoles, each on its own so that one that hangs holds up no other. Make it with NewPoller.
type Poller struct {
	now    func() model.Microseconds
	client *http.Client
	cancel context.CancelFunc
	wait   sync.WaitGroup

	mu   sync.Mutex
	seen []Seen
}

// NewPoller begins to ask the consoles at these addresses, host:port or whole URLs.
func NewPoller(addresses []string, now func() model.Microseconds) *Poller {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Poller{now: now, cancel: cancel, client: &http.Client{Timeout: answerIn, Transport: &http.Transport{MaxConnsPerHost: 2, IdleConnTimeout: 30 * time.Second}}}
	for i, a := range addresses {
		if !strings.Contains(a, "://") {
			a = "http://" + a
		}
		p.seen = append(p.seen, Seen{Address: strings.TrimSuffix(a, "/")})
		p.wait.Add(1)
		go p.follow(ctx, i)
	}
	return p
}

// Close ends the asking.
func (p *Poller) Close() {
	p.cancel()
	p.wait.Wait()
	p.client.CloseIdleConnections()
}

// Seen is what is known now, in the order of the addresses.
func (p *Poller) Seen() []Seen {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Seen(nil), p.seen...)
}

func (p *Poller) follow(ctx context.Context, i int) {
	defer p.wait.Done()
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		p.ask(ctx, i)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// ask takes one look. The newest belief stays if it fails.
func (p *Poller) ask(ctx context.Context, i int) {
	p.mu.Lock()
	address := p.seen[i].Address
	p.mu.Unlock()
	b, err := p.look(ctx, address)
	if ctx.Err() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.seen[i]
	s.Tries++
	if err != nil {
		s.Fails++
		s.Error = err.Error()
		return
	}
	s.Belief, s.At, s.Error = b, p.now(), ""
}

func (p *Poller) look(ctx context.Context, address string) (*Belief, error) {
	var pages [3][]byte
	for k, path := range []string{"/", "/replicas", "/forwarders"} {
		text, err := p.page(ctx, address+path+"?as=json")
		if err != nil {
			return nil, err
		}
		pages[k] = text
	}
	return read(pages[0], pages[1], pages[2])
}

func (p *Poller) page(ctx context.Context, url string) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	answer, err := p.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, pageBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(text) > pageBytes:
		return nil, fmt.Errorf("%s: more than %d bytes", url, pageBytes)
	case answer.StatusCode != http.StatusOK:
		return nil, fmt.Errorf("%s: %s: %.200s", url, answer.Status, strings.TrimSpace(string(text)))
	}
	return text, nil
}
