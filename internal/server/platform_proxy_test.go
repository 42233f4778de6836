package server

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
	"peppervale/internal/invariants"
)

// messageOverhead is the cost of a message in addition to its entries.
const messageOverhead = 6

// platformProxy is a proxy of a platformTestbed, with the table that it received.
type platformProxy struct {
	id             int
	conn           net.Conn
	weights        map[string]float64 // by replica
	withdrawn      map[string]bool
	fullTableCount int // full tables received
}

// newProxy adds a proxy with a standing table of six replicas.
func (bed *platformTestbed) newProxy(id int) *platformProxy {
	proxy := &platformProxy{id: id, weights: map[string]float64{}, withdrawn: map[string]bool{}}
	var standingTable []invariants.TableEntry
	for n := range 6 {
		name := hostName(n + 1)
		proxy.weights[name] = 1
		standingTable = append(standingTable, invariants.TableEntry{Replica: hostID(name), Weight: 1})
	}
	bed.mu.Lock()
	defer bed.mu.Unlock()
	bed.observe(invariants.ProxyStarted{
		At: bed.now(), Proxy: proxy.name(), Zone: id % len(platformZones), Standing: standingTable,
	})
	bed.proxies = append(bed.proxies, proxy)
	return proxy
}

// name returns the proxy's name for the invariant checker.
func (p *platformProxy) name() string { return fmt.Sprint("proxy-", p.id) }

// pick returns a replica that is not withdrawn, at random by weight; "" if there is none.
func (p *platformProxy) pick(random *rand.Rand) string {
	var names []string
	totalWeight := 0.0
	for _, name := range slices.Sorted(maps.Keys(p.weights)) {
		if !p.withdrawn[name] {
			names = append(names, name)
			totalWeight += p.weights[name]
		}
	}
	remaining := random.Float64() * totalWeight
	for _, name := range names {
		remaining -= p.weights[name]
		if remaining <= 0 {
			return name
		}
	}
	return ""
}

// connect connects a proxy, which applies and acknowledges updates until its connection ends. onStandingTable is "1" if
// the proxy has received no table yet.
func (bed *platformTestbed) connect(p *platformProxy, onStandingTable string) {
	bed.t.Helper()
	p.conn = bed.dial("joined", "id", fmt.Sprint(p.id), "site", platformZones[p.id%len(platformZones)],
		"rps", "20", "new", onStandingTable)
	bed.mu.Lock()
	bed.observe(invariants.StreamChanged{At: bed.now(), Proxy: p.name(), Instance: platformInstanceName, Up: true})
	bed.mu.Unlock()
	conn := p.conn
	bed.background.Add(1)
	go func() {
		defer bed.background.Done()
		bed.readUpdates(p, conn)
	}()
}

// readUpdates applies and acknowledges updates until the connection ends.
func (bed *platformTestbed) readUpdates(p *platformProxy, conn net.Conn) {
	reader := resp.NewReader(resp.Limits{})
	buffer := make([]byte, 64<<10)
	message := newMessage()
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		err = reader.Feed(buffer[:n], func(value resp.Value) error {
			if bed.applyUpdatePart(p, message, value) {
				bed.completeUpdate(p, conn, message)
				message = newMessage()
			}
			return nil
		})
		if err != nil {
			bed.t.Errorf("parsing the instance's output failed: %v", err)
			return
		}
	}
}

// newMessage returns a message for the invariant checker that requests no acknowledgement.
func newMessage() *pubsubmsg.Message { return &pubsubmsg.Message{AckSequence: -1} }

// completeUpdate records a complete update for the invariant checker, and acknowledges it if requested.
func (bed *platformTestbed) completeUpdate(p *platformProxy, conn net.Conn, message *pubsubmsg.Message) {
	bed.mu.Lock()
	data := pubsubmsg.Append(nil, message)
	bed.observe(invariants.BytesReceived{At: bed.now(), Proxy: p.name(), Data: data})
	bed.mu.Unlock()
	if message.AckSequence < 0 {
		return
	}
	_, _ = conn.Write(resp.AppendCommand(nil, "applied", "id", fmt.Sprint(p.id),
		"seq", fmt.Sprint(message.AckSequence), "ms", "3")) // the connection may have ended before the write
}

// applyUpdatePart applies one part of an update, adds it to the invariant checker's message, and reports whether it was
// the last part.
func (bed *platformTestbed) applyUpdatePart(proxy *platformProxy, message *pubsubmsg.Message, value resp.Value) bool {
	bed.mu.Lock()
	defer bed.mu.Unlock()
	if value.Items[0].Text != "update" || len(value.Items)%2 == 0 {
		bed.t.Errorf("got %v, want an update", value)
		return false
	}
	fields := map[string]string{}
	for i := 1; i < len(value.Items); i += 2 {
		fields[value.Items[i].Text] = value.Items[i+1].Text
	}
	if message.UpdatedAt == 0 {
		message.UpdatedAt, message.Cost = bed.now(), messageOverhead
	}
	if fields["whole"] == "1" {
		proxy.beginFullTable(message)
	}
	bed.setWeights(proxy, message, fields["lines"])
	for _, name := range splitList(fields["out"]) {
		proxy.withdrawn[name] = true
		addWithdrawal(message, name, true)
	}
	for _, name := range splitList(fields["back"]) {
		delete(proxy.withdrawn, name)
		addWithdrawal(message, name, false)
	}
	if fields["level"] != "" {
		message.Cost++
		bed.checkQuota(fields)
	}
	if fields["ticket"] != "" {
		sequence, err := strconv.Atoi(fields["ticket"])
		if err != nil {
			bed.t.Errorf("ticket %q is not an acknowledgement number: %v", fields["ticket"], err)
		}
		message.AckSequence = sequence
		message.Cost++
	}
	return fields["more"] != "1"
}

// splitList returns the elements of a field's list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// beginFullTable replaces the proxy's table with an empty one. Withdrawn replicas stay withdrawn.
func (p *platformProxy) beginFullTable(message *pubsubmsg.Message) {
	message.Full, message.Bound = true, true
	message.Cost++
	clear(p.weights)
	p.fullTableCount++
	for name := range p.withdrawn {
		withdrawal := pubsubmsg.Withdrawal{Replica: hostID(name), Withdrawn: true}
		message.Withdrawals = append(message.Withdrawals, withdrawal)
	}
}

func addWithdrawal(message *pubsubmsg.Message, name string, withdrawn bool) {
	withdrawal := pubsubmsg.Withdrawal{Replica: hostID(name), Withdrawn: withdrawn}
	message.Withdrawals = append(message.Withdrawals, withdrawal)
	message.Cost++
}

// setWeights sets the weights in a list "name:weight,...". The caller holds bed.mu.
func (bed *platformTestbed) setWeights(p *platformProxy, message *pubsubmsg.Message, list string) {
	for _, pair := range splitList(list) {
		name, text, _ := strings.Cut(pair, ":")
		weight, err := strconv.ParseFloat(text, 64)
		if _, isListed := bed.hosts[name]; err != nil || weight < 0 || !isListed {
			bed.t.Errorf("invalid table entry %q", pair)
		}
		p.weights[name] = weight
		if weight == 0 {
			delete(p.weights, name)
		}
		message.Entries = append(message.Entries, pubsubmsg.Entry{Replica: hostID(name), Weight: weight})
		message.Cost++
	}
}

// checkQuota fails the test if an admission quota is invalid.
func (bed *platformTestbed) checkQuota(fields map[string]string) {
	quota, err := strconv.ParseFloat(fields["level"], 64)
	isKnown := fields["classes"] == "read" || fields["classes"] == "log"
	if err != nil || quota <= 0 || fields["retry"] > "1" || !isKnown {
		bed.t.Errorf("invalid quota: level %q, retry %q for classes %q", fields["level"], fields["retry"], fields["classes"])
	}
}
