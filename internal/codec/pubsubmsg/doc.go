// Package pubsubmsg converts the messages of the publish-subscribe channel to and from RESP3 values, and validates
// them: the updates that a controller publishes to a proxy (Message) and the commands that a proxy sends (Join, Ack,
// LoadReports). Nothing in this package does I/O.
//
// A Message carries the controller's version and the version of the message sent to the same proxy before it. A
// proxy that does not have the previous version has missed a message and requests a snapshot (RESYNC). The
// incarnation increases with each start of the controller; a message of an earlier incarnation is obsolete.
//
// docs/channel.md describes the protocol for authors of proxies.
package pubsubmsg
