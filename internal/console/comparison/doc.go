// Package comparison serves a read-only web console of several controllers side by side, from their own consoles:
// what each reports, how old that is, and where they disagree. A controller that no longer answers is shown with its
// last reported view.
//
// A page never waits for a controller. Views older than maxViewAge are shown with their age and not compared. How
// long a disagreement has lasted tells it from a passing one, as endpoint lists do not reach all controllers at the
// same moment.
//
// Limitations: views are up to a poll interval old, and rows beyond what a console puts on a page (5,000) are not
// compared. Controllers are identified by the addresses of their consoles; two with the same name are reported.
//
// view.go parses what a console reports, poller.go polls the consoles, tracker.go finds and follows disagreements by
// the rules of replicas.go, proxies.go and controllers.go (free of I/O), server.go, overview.go and matrix.go serve
// the pages.
package comparison
