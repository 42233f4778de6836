// Package platformmsg converts the messages of the operators' platform to and from plain values, and validates
// them: the messages that arrive at a controller (Message), the updates on a proxy's stream (Update) and the
// endpoint list of discovery (EndpointList). Nothing in this package does I/O.
//
// A message is a RESP2 array of bulk strings: its kind, then names and values that alternate. A message is invalid if a
// required field is absent, or if a field has another type or is out of range; the *ParseError names the field. Fields
// with unknown names are ignored, so that the platform can add fields.
//
// The caller has to check that a named zone, replica or proxy exists; see ReplicaNames.
package platformmsg
