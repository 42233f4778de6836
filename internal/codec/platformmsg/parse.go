package platformmsg

import (
	"fmt"
	"math"

	"peppervale/internal/codec/resp"
)

// maxQuotedLength bounds the bytes of received text that a response or an error quotes.
const maxQuotedLength = 40

// Parse parses a message. Its error is a *ParseError. If the error names a field, the Message still has the valid
// fields set.
func Parse(value resp.Value) (Message, error) {
	if value.Kind != resp.Array || len(value.Items) == 0 {
		return Message{}, &ParseError{Reason: "a message is an array that begins with its kind"}
	}
	for _, item := range value.Items {
		if item.Kind != resp.BulkString {
			return Message{}, &ParseError{Reason: "a message is an array of bulk strings"}
		}
	}
	kind := Kind(value.Items[0].Text)
	fields := newFieldParser(kind, value.Items[1:])
	message := Message{Kind: kind}
	switch kind {
	case KindPing:
	case KindCollector:
		message.Zone = fields.text("site")
	case KindProxyJoined:
		parseProxyJoined(fields, &message)
	case KindAcknowledgement:
		parseAcknowledgement(fields, &message)
	case KindLoadReport:
		parseLoadReport(fields, &message)
	case KindUsage:
		parseUsage(fields, &message)
	default:
		reason := fmt.Sprintf("%.40q is no kind of message that a governor reads", string(kind))
		return Message{}, &ParseError{Reason: reason}
	}
	if fields.err != nil {
		return message, fields.err
	}
	return message, nil
}

func parseProxyJoined(fields *fieldParser, message *Message) {
	message.Proxy = fields.integer("id", math.MaxUint16)
	message.Zone = fields.text("site")
	message.ExpectedRate = fields.number("rps", maxExpectedRate)
	message.OnStandingTable = fields.flag("new")
}

func parseAcknowledgement(fields *fieldParser, message *Message) {
	message.Proxy = fields.integer("id", math.MaxUint16)
	message.AckSequence = uint32(fields.integer("seq", math.MaxUint16))
	fields.duration("ms") // validated only
}

func parseLoadReport(fields *fieldParser, message *Message) {
	message.Zone = fields.text("site")
	message.Replica = fields.text("target")
	message.MeanLatency = fields.duration("mean")
	message.Window = fields.duration("over")
	message.Readings = fields.readings("util")
	message.Attempts = fields.integer("count", maxAttempts)
	message.Errors = fields.integer("fail", maxAttempts)
	if message.Errors > message.Attempts {
		fields.fail("fail", fmt.Sprintf("%d of %d", message.Errors, message.Attempts))
	}
	if message.Window == 0 {
		fields.fail("over", "is 0")
	}
}

func parseUsage(fields *fieldParser, message *Message) {
	message.Proxy = fields.integer("id", math.MaxUint16)
	message.Operation = fields.text("lane")
	message.Window = fields.duration("over")
	message.Attempts = fields.integer("count", maxAttempts)
	message.Errors = fields.integer("fail", maxAttempts)
}

func truncate(text string) string {
	return text[:min(len(text), maxQuotedLength)]
}
