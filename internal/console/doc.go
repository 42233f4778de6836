// Package console is a governor's own web pages: what it believes, whom it has published what, and why. It reads views and
// writes nothing: every request but GET and HEAD is turned down.
//
// Guarantees: a page is made from one immutable view and never waits for the governor, so that it stays readable while
// the governor is overloaded; the age of what it shows is on it. Requests in work and live streams are bounded, each
// with a write deadline, so that viewers who never read cost a goroutine for some seconds and nothing else. Names from
// outside are escaped by html/template. Every page is JSON too, under the same address with ?as=json or Accept.
//
// Caveats: there is no login; it listens where the file says, loopback unless told. The time line goes back 15 minutes,
// the orders as far as the host's ring of causes.
package console
