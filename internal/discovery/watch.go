package discovery

import (
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"peppervale/internal/codec/http1"
	"peppervale/internal/codec/platformmsg"
	"peppervale/internal/model"
)

// WatchConfig says which endpoint list of the operators' platform is watched.
type WatchConfig struct {
	Address          string // host:port
	Zones            []string
	Names            *platformmsg.ReplicaNames // learns each replica that is listed
	InitialEndpoints *platformmsg.EndpointList // the list that this instance had last; nil: none
	Seed             uint64                    // of the random retry delays
	Log              zerolog.Logger
}

// By the platform's protocol a watch event counts as delivered 6 s after it was due, whether it arrived or not. The
// platform writes an empty line to a watch every 2 s, and ends a call that waits there for longer than a second. So a
// watch is dead after 3 s without a complete line: a second more than the interval of its signs of life, for the
// network. With the retry delay (0.25 s at most) and a call (a second, and the network delay) the list is there 4.3 to
// 4.8 s after the last sign; with a lost call in between (1.5 s, 0.25 s) at about 6 s.
const (
	watchSilenceTimeout = 3 * time.Second
	watchAnswerTimeout  = 1500 * time.Millisecond // connecting included
	maxWatchRetryDelay  = 250 * time.Millisecond

	// maxWatchRetries is how many calls at most follow a live watch that ended, while none is answered; then the poll
	// has failed.
	maxWatchRetries = 2

	// minLiveWatch is how long a watch must have lasted, by its last sign of life, to have been live.
	minLiveWatch = watchSilenceTimeout / 2
)

// Watcher follows the platform's endpoint list over one open answer. Make it with NewWatcher.
type Watcher struct {
	receiver Receiver
	log      zerolog.Logger
	http     *httpClient
	poller   *poller

	// Used by the poller's goroutine only.
	retryDelay  jitter
	retriesLeft int

	mu      sync.Mutex
	address string
	cache   endpointCache
}

// NewWatcher starts a client that does nothing until Subscribe. The error is one of the socket engine.
func NewWatcher(config WatchConfig, receiver Receiver) (*Watcher, error) {
	client, err := newHTTPClient()
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	watcher := &Watcher{
		receiver:   receiver,
		log:        config.Log,
		http:       client,
		retryDelay: jitter{seed: config.Seed},
		address:    config.Address,
		cache: endpointCache{
			zones:   config.Zones,
			names:   config.Names,
			log:     config.Log,
			entries: map[string]platformmsg.Endpoint{},
		},
	}
	if config.InitialEndpoints != nil {
		watcher.cache.apply(config.InitialEndpoints)
	}
	watcher.poller = newPoller(watcher)
	go watcher.poller.run()
	return watcher, nil
}

// Subscribe keeps a watch until a poll fails. It does not wait; while subscribed it has no effect.
func (w *Watcher) Subscribe() { w.poller.subscribe() }

// SetAddress continues at another address, from the cached version; it does not wait for a failure at the one before.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	unchanged := w.address == address
	w.address = address
	w.mu.Unlock()
	if !unchanged {
		w.poller.addressChanged()
	}
}

// Close ends the client and its watch.
func (w *Watcher) Close() {
	w.poller.close()
	w.http.close()
}

// Endpoints is the cached list.
func (w *Watcher) Endpoints() []model.Endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.endpoints()
}

func (w *Watcher) currentAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

func (w *Watcher) begin() { w.retriesLeft = 0 }

// pollFailed reports the failure; a subscription that was requested before it does not count after it.
func (w *Watcher) pollFailed(error) {
	w.poller.discardRequest()
	w.receiver.EndpointsChanged(model.PollFailed, nil)
}

// poll makes one call and keeps its watch until it ends. A live watch that ended is no failure: it is made anew.
func (w *Watcher) poll() (time.Duration, error) {
	stream := w.newWatchStream()
	err := w.follow(stream)
	switch {
	case errors.Is(err, errClosed):
		return 0, err
	case errors.Is(err, errMoved):
		w.retriesLeft = 0
		w.log.Info().Msg("endpoint watch moves to the new address")
		return 0, nil
	case stream.wasLive():
		w.retriesLeft = maxWatchRetries
	case !isTimeout(err):
		w.retriesLeft = 0
	}
	w.log.Warn().Err(err).Msg("endpoint watch ended")
	if w.retriesLeft == 0 {
		return 0, err
	}
	w.retriesLeft--
	return w.retryDelay.next(maxWatchRetryDelay), nil
}

// newWatchStream prepares a call for what changed since the cached version.
func (w *Watcher) newWatchStream() *watchStream {
	w.mu.Lock()
	address, version := w.address, w.cache.version
	w.mu.Unlock()
	target := "/v1/endpoints?follow=1&since=" + strconv.FormatUint(version, 10)
	request := http1.AppendRequest(nil, "GET", target, address, nil, "Accept", "application/json")
	stream := &watchStream{watcher: w, address: address}
	parser := http1.NewParser(true, http1.Limits{})
	parser.Stream = stream.receive
	stream.call = w.http.newCall(request, parser)
	return stream
}

// follow keeps a watch until it ends, which always has an error.
func (w *Watcher) follow(stream *watchStream) error {
	defer stream.call.abandon()
	stream.call.dial(stream.address, watchAnswerTimeout)
	message, err := w.poller.await(stream.call, stream)
	if err == nil {
		return fmt.Errorf("status %d, and the answer ended: %.80q", message.Status, message.Body)
	}
	return err
}

// apply merges a watch event into the cache and hands the complete list over.
func (w *Watcher) apply(list *platformmsg.EndpointList) error {
	w.mu.Lock()
	if !list.Full && list.Version < w.cache.version { // what lies between is not known
		w.cache.version = 0
		w.mu.Unlock()
		return fmt.Errorf("the version went back to %d", list.Version)
	}
	w.cache.apply(list)
	endpoints := w.cache.endpoints()
	w.mu.Unlock()
	w.receiver.EndpointsChanged(model.FullList, endpoints)
	return nil
}
