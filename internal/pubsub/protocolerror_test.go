package pubsub

import (
	"strings"
	"testing"
	"time"

	"peppervale/internal/codec/pubsubmsg"
	"peppervale/internal/codec/resp"
)

func joinCommand(name, zone string) []byte {
	return pubsubmsg.AppendJoin(nil, pubsubmsg.Join{Name: name, Zone: zone})
}

// TestProtocolErrorsEndOnlyTheirConnection: Invalid input ends its connection with one clear error and does not affect
// other connections.
func TestProtocolErrorsEndOnlyTheirConnection(t *testing.T) {
	harness := startServer(t, func(config *Config) { config.Limits.GreetingTimeout = time.Minute })
	otherProxy, _ := harness.join(t, "till")
	hello := string(helloCommand())
	helloAndJoin := hello + string(joinCommand("other", "govan"))
	contradictingReports := resp.AppendCommand(nil, "SUMS", "1", "1000000", "127.0.0.1:80", "1", "2", "0", "")
	for name, tt := range map[string]struct{ sent, reason string }{
		"not RESP":               {"GET / HTTP/1.1\r\n\r\n", "opens no value"},
		"a length of 2^62":       {"$4611686018427387904\r\n", "a string of"},
		"deep nesting":           {strings.Repeat("*1\r\n", 1000), "nesting deeper"},
		"a value, not a command": {":1\r\n", "a command is an array"},
		"a join without hello":   {string(joinCommand("x", "govan")), "HELLO 3 first"},
		"an unknown zone":        {hello + string(joinCommand("x", "leith")), "there are govan, kelvin"},
		"contradicting reports":  {helloAndJoin + string(contradictingReports), "tries"},
		"an acknowledgement without join": {
			hello + string(resp.AppendCommand(nil, "ACK", "1", "1", "1")), "JOIN first",
		},
		"a second join": {helloAndJoin + string(joinCommand("y", "govan")), "has joined as"},
		"a subscription without hello": {
			string(resp.AppendCommand(nil, "SUBSCRIBE", "tables")), "HELLO 3 first",
		},
		"an incomplete join":         {hello + string(resp.AppendCommand(nil, "JOIN", "x")), "JOIN takes"},
		"reports over a window of 0": {helloAndJoin + string(resp.AppendCommand(nil, "SUMS", "1", "0")), "a span of"},
	} {
		t.Run(name, func(t *testing.T) {
			client := harness.dial(t)
			client.Send([]byte(tt.sent))
			client.expectEndWith(tt.reason)
		})
	}
	unknownCommandClient := harness.dial(t)
	unknownCommandClient.Send(resp.AppendCommand(nil, "FLUSHALL"))
	unknownCommandClient.expectError("known are ACK")
	harness.publish(1, withdrawReplica(1))
	otherProxy.expectAckSequence(1)
}

// expectEndWith checks that the connection ends after an error that contains the reason.
func (c *testClient) expectEndWith(reason string) {
	c.t.Helper()
	for {
		value, ok := c.Next()
		if !ok {
			c.t.Fatalf("the connection ended without an error that contains %q", reason)
		}
		if value.Kind == resp.SimpleError && strings.Contains(value.Text, reason) {
			break
		}
	}
	for ok := true; ok; {
		_, ok = c.Next()
	}
}
