package pubsub

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"peppervale/internal/codec/resp"
	"peppervale/internal/model"
)

// commands maps each command that a peer may send to its handler. ACK, SUMS and FENCED have no reply. An error returned
// by a handler is a protocol error: it is sent to the peer and ends the connection.
var commands = map[string]func(*connection, []resp.Value) error{
	"HELLO":       (*connection).hello,
	"PING":        (*connection).ping,
	"CLIENT":      (*connection).client,
	"QUIT":        (*connection).quit,
	"SUBSCRIBE":   (*connection).subscribe,
	"UNSUBSCRIBE": (*connection).unsubscribe,
	"JOIN":        (*connection).joinProxy,
	"ACK":         (*connection).acknowledge,
	"SUMS":        (*connection).reportLoad,
	"RESYNC":      (*connection).resync,
	"FENCED":      (*connection).fenced,
}

var (
	errMalformedCommand = errors.New("a command is an array that begins with its name")
	errHelloFirst       = errors.New("say HELLO 3 first")
	errJoinFirst        = errors.New("say JOIN first")
)

// protocolVersion is the version of RESP that the server speaks.
const protocolVersion = 3

// handleCommand handles one command.
func (c *connection) handleCommand(value resp.Value) error {
	if c.Ended() {
		return errEnded
	}
	c.commandCount++
	if !c.checkCommandRate() {
		return errEnded
	}
	if value.Kind != resp.Array || len(value.Items) == 0 {
		return errMalformedCommand
	}
	name := strings.ToUpper(value.Items[0].ArgumentText())
	command := commands[name]
	if command == nil {
		known := slices.Sorted(maps.Keys(commands))
		c.replyError("ERR unknown command '%.40s'; known are %s", name, strings.Join(known, ", "))
		return nil
	}
	return command(c, value.Items[1:])
}

// checkCommandRate counts a command, of whatever name, and reports whether it is within the peer's rate limit. A peer
// above the limit gets an error with a retry delay, and its connection is closed. The tables that it holds stay in
// force.
func (c *connection) checkCommandRate() bool {
	server := c.server
	server.mu.Lock()
	defer server.mu.Unlock()
	rate := server.config.Limits.CommandRate
	ok, retryAfter := c.commandRate.Take(server.config.Now(), rate)
	if !ok && !c.Ended() {
		server.stats.RateLimited++
		server.endWithError(c, fmt.Sprintf(
			errorLater+" %d milliseconds: %g commands a second are taken from one peer, %d at once; keep what you hold",
			retryAfter/model.Millisecond+1, rate.PerSecond, rate.Burst))
	}
	return ok
}

func (c *connection) hello(args []resp.Value) error {
	if len(args) > 0 && args[0].ArgumentText() != fmt.Sprint(protocolVersion) {
		c.replyError("NOPROTO this server speaks protocol %d", protocolVersion)
		return nil
	}
	for _, arg := range args {
		if strings.EqualFold(arg.ArgumentText(), "AUTH") {
			c.replyError("ERR no password is set on this server; leave AUTH out")
			return nil
		}
	}
	c.receivedHello = true
	properties := [][2]string{
		{"server", "peppervale"},
		{"version", "1"},
		{"mode", "standalone"},
		{"role", "master"},
	}
	encoded := resp.AppendHeader(nil, resp.Map, len(properties)+3)
	for _, property := range properties {
		encoded = resp.AppendBulk(encoded, property[0])
		encoded = resp.AppendBulk(encoded, property[1])
	}
	encoded = appendNumber(encoded, "proto", protocolVersion)
	encoded = appendNumber(encoded, "id", int64(c.id))
	encoded = resp.AppendBulk(encoded, "modules")
	encoded = resp.AppendHeader(encoded, resp.Array, 0)
	c.reply(encoded)
	return nil
}

// appendNumber appends one key of a map with a number as its value.
func appendNumber(encoded []byte, key string, value int64) []byte {
	return resp.AppendInt(resp.AppendBulk(encoded, key), value)
}

func (c *connection) ping(args []resp.Value) error {
	if len(args) > 0 {
		c.reply(resp.AppendBulk(nil, args[0].ArgumentText()))
	} else {
		c.reply(resp.AppendLine(nil, resp.SimpleString, "PONG"))
	}
	return nil
}

// client accepts the subcommands SETINFO and SETNAME, with which client libraries describe themselves. Other
// subcommands of CLIENT are not implemented.
func (c *connection) client(args []resp.Value) error {
	if len(args) > 0 {
		subcommand := strings.ToUpper(args[0].ArgumentText())
		if subcommand == "SETINFO" || subcommand == "SETNAME" {
			c.replyOK()
			return nil
		}
	}
	c.replyError("ERR of CLIENT there are SETINFO and SETNAME")
	return nil
}

func (c *connection) quit([]resp.Value) error {
	c.replyOK()
	c.MarkEnded()
	_ = c.Socket().Close()
	return errEnded
}
