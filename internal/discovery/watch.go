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

// WatchConfig is the configuration of a watch on the endpoint list of the operators' platform.
type WatchConfig struct {
	Address          string // host:port
	Zones            []string
	Names            *platformmsg.ReplicaNames // every listed replica is registered here
	InitialEndpoints *platformmsg.EndpointList // the list at startup; nil: none
	Seed             uint64                    // of the pseudorandom retry delays
	Log              zerolog.Logger
}

// Timing of a watch. In the platform's protocol a watch event counts as delivered 6 s after it was due, even if it did
// not arrive. The platform writes an empty line to a watch every 2 s and ends a call that waits for its response for
// longer than a second. If a watch stops, the list of the next watch arrives 4.3 to 4.8 s after the last line:
//
//   - 3 s (watchIdleTimeout): the interval of the empty lines and a second for the network
//   - up to 0.25 s (maxWatchRetryDelay)
//   - a call: a second and the network delay
//
// If a call is lost in between, watchResponseTimeout (1.5 s) and a retry delay (0.25 s) are added: about 6 s.
const (
	watchIdleTimeout     = 3 * time.Second
	watchResponseTimeout = 1500 * time.Millisecond // includes the time to connect
	maxWatchRetryDelay   = 250 * time.Millisecond

	// maxWatchRetries is the number of calls after the end of a live watch. If all of them time out without a response,
	// the poll fails; any other error fails it immediately.
	maxWatchRetries = 2

	// minLiveDuration is the minimum time from the start of a call to the last progress of its watch (a complete line, or
	// progressStepBytes of a long one) for the watch to count as live.
	minLiveDuration = watchIdleTimeout / 2
)

// Watcher follows the platform's endpoint list in one streamed response. Create it with NewWatcher.
type Watcher struct {
	receiver Receiver
	log      zerolog.Logger
	http     *httpClient
	poller   *poller

	// Used only by the poller's goroutine.
	retryDelay  jitter
	retriesLeft int

	mu      sync.Mutex
	address string
	cache   endpointCache
}

// NewWatcher returns a watcher that makes no call before Subscribe. It fails if the socket engine cannot be started.
func NewWatcher(config WatchConfig, receiver Receiver) (*Watcher, error) {
	client, err := newHTTPClient()
	if err != nil {
		return nil, fmt.Errorf("endpoint watch: %w", err)
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
		watcher.cache.merge(config.InitialEndpoints)
	}
	watcher.poller = newPoller(watcher)
	go watcher.poller.run()
	return watcher, nil
}

// Subscribe starts a subscription, which keeps a watch open until a poll fails. It does not block. It has no effect
// during a subscription.
func (w *Watcher) Subscribe() { w.poller.subscribe() }

// SetAddress moves the watch to another address and continues from the cached version. It does not wait for a failure
// at the previous address.
func (w *Watcher) SetAddress(address string) {
	w.mu.Lock()
	unchanged := w.address == address
	w.address = address
	w.mu.Unlock()
	if !unchanged {
		w.poller.signalAddressChange()
	}
}

// Close stops the watcher and cancels a call in flight.
func (w *Watcher) Close() {
	w.poller.close()
	w.http.close()
}

// Endpoints returns the cached list.
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

func (w *Watcher) startSubscription() { w.retriesLeft = 0 }

// pollFailed reports the failure. It discards earlier Subscribe calls, so that the receiver decides after the failure
// when to subscribe again.
func (w *Watcher) pollFailed(error) {
	w.poller.discardSubscribeRequest()
	w.receiver.EndpointsChanged(model.PollFailed, nil)
}

// poll makes one call and follows its watch until it ends. The end of a live watch is not a failure: the call is
// repeated. poll returns the delay before the next call, or an error that ends the subscription.
func (w *Watcher) poll() (time.Duration, error) {
	stream := w.newWatchStream()
	err := w.follow(stream)
	switch {
	case errors.Is(err, errClosed):
		return 0, err
	case errors.Is(err, errAddressChanged):
		w.retriesLeft = 0
		w.log.Info().Msg("endpoint watch reconnects: discovery address changed")
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

// newWatchStream prepares a call for the changes since the cached version.
func (w *Watcher) newWatchStream() *watchStream {
	w.mu.Lock()
	address, version := w.address, w.cache.version
	w.mu.Unlock()
	target := "/v1/endpoints?follow=1&since=" + strconv.FormatUint(version, 10)
	request := http1.AppendRequest(nil, "GET", target, address, nil, "Accept", "application/json")
	stream := &watchStream{watcher: w, address: address}
	parser := http1.NewParser(true, http1.Limits{})
	parser.Stream = stream.receiveBody
	stream.call = w.http.newCall(request, parser)
	return stream
}

// follow follows a watch until it ends and returns the reason, which is never nil.
func (w *Watcher) follow(stream *watchStream) error {
	defer stream.call.abandon()
	stream.call.dial(stream.address, watchResponseTimeout)
	message, err := w.poller.awaitCall(stream.call, stream)
	if err == nil {
		return fmt.Errorf("watch response ended: status %d, body %.80q", message.Status, message.Body)
	}
	return err
}

// applyEvent merges a watch event into the cache and passes the complete list to the receiver.
func (w *Watcher) applyEvent(list *platformmsg.EndpointList) error {
	w.mu.Lock()
	if !list.Full && list.Version < w.cache.version { // the changes in between are unknown
		w.cache.version = 0
		w.mu.Unlock()
		return fmt.Errorf("the endpoint list version went back to %d", list.Version)
	}
	w.cache.merge(list)
	endpoints := w.cache.endpoints()
	w.mu.Unlock()
	w.receiver.EndpointsChanged(model.FullList, endpoints)
	return nil
}
