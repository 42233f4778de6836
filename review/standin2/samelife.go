//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// sameLife: the only instance is restarted with another, empty state directory. Later a replica is put into maintenance.
// Beside the proxies of this program one of the project's own sends requests to replicas that listen.
func sameLife(b *testbed) {
	zones := []string{"govan", "partick"}
	replicas, counters := listeningReplicas(b, zones, 4)
	registry := startRegistry(b, replicas)
	listen := freeAddress()
	file := instanceFile{name: "govan-1", listen: listen, registry: registry.address, zones: zones, forwarders: 11}
	instance := b.serve("govan-1", b.write("govan-1.hcl", file.text()), listen)
	var proxies []*proxy
	for i := range 10 {
		zone := zones[i%2]
		p := newProxy(b, fmt.Sprintf("%s-till-%d", zone, i), zone, []string{listen}, standing(replicas, zone))
		p.rate = 15
		p.latency = varyingLatency
		p.start()
		proxies = append(proxies, p)
	}
	own := b.write("own-till.hcl", ownProxyFile(zones, listen, standing(replicas, "govan")))
	b.run("own-till", exec.Command(b.program, "standin", "proxy", "--config", own))
	b.waitFor("all proxies are bound", 15*time.Second, allProxies(proxies, isBound))
	b.sleepUntil(50 * time.Second)
	b.terminate(instance)
	if b.trouble {
		file.state = "state-on-a-new-disk"
		b.note("its file names another state directory, which is empty")
	}
	b.serve("govan-1", b.write("govan-1.hcl", file.text()), listen)
	b.waitFor("all proxies are joined", 15*time.Second, allProxies(proxies, isJoined))
	b.sleepUntil(65 * time.Second)
	drained := replicas[0].replica
	registry.drain(drained+" is in maintenance", drained)
	toldAt := b.now()
	b.sleepUntil(85 * time.Second)
	judgeDrain(b, proxies, drained, toldAt)
	before, late := counters[drained].split(toldAt + drainLimit + protocolSlack)
	b.note("the project's own proxy sent %d requests to %s, %d of them later than %.1f s after the instance was told",
		before+late, drained, late, (drainLimit + protocolSlack).Seconds())
	if late > 0 {
		b.breach("the project's own proxy sent %d requests to the draining %s after the grace", late, drained)
	}
	b.copyLog("govan-1", "serving", "safe mode", "draining", "statistics")
	b.copyLog("own-till", "joined to")
}

// requestCounter notes when requests came to a replica.
type requestCounter struct {
	bed *testbed

	mu   sync.Mutex
	came []time.Duration
}

// ServeHTTP answers a request as a sound replica does.
func (c *requestCounter) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	c.came = append(c.came, c.bed.now())
	c.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	writer.Header().Set("Content-Length", "0")
}

// split returns how many requests came up to a time, and later.
func (c *requestCounter) split(at time.Duration) (before, later int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, came := range c.came {
		if came > at {
			later++
		} else {
			before++
		}
	}
	return before, later
}

// listeningReplicas starts replicas that answer each request.
func listeningReplicas(b *testbed, zones []string, each int) (entries []listed, counters map[string]*requestCounter) {
	counters = map[string]*requestCounter{}
	for i := range each * len(zones) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(couldNot{err.Error()})
		}
		counter := &requestCounter{bed: b}
		server := &http.Server{Handler: counter, ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(listener) }()
		entries = append(entries, listed{replica: listener.Addr().String(), zone: zones[i%len(zones)]})
		counters[listener.Addr().String()] = counter
	}
	return entries, counters
}

// ownProxyFile is the file of the project's own stand-in of a proxy.
func ownProxyFile(zones []string, listen string, standing []string) string {
	return fmt.Sprintf(`zones = ["%s"]

operation "recipe-read" {
  objective = "500ms"
  timeout   = "1200ms"
  effect    = "idempotent"
}

operation "batch-log" {
  objective    = "750ms"
  timeout      = "2s"
  billed_value = 3
  effect       = "fingerprinted"
  window       = "1200ms"
}

forwarder "own-till" {
  zone      = "govan"
  governors = [%q]
  standing  = ["%s"]
  rate      = 15
}
`, strings.Join(zones, `", "`), listen, strings.Join(standing, `", "`))
}
