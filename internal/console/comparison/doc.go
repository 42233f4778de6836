// Package comparison serves a read-only web console that compares several controllers by the pages of their own
// consoles. It shows the state that each controller reports, the age of that report, and the disagreements between
// controllers. A controller that no longer responds is shown with its last reported view.
//
// A page never waits for a controller. Views older than maxViewAge are shown with their age and not compared. Only a
// disagreement that lasts for settlingTime is reported as persistent, as a change of the endpoint list does not reach
// all controllers at the same moment.
//
// Limitations: a view is renewed only once per poll interval. A console puts up to 5,000 rows on a page; further rows
// are not compared. Controllers are identified by the addresses of their consoles; two controllers with the same name
// are reported.
//
// view.go parses the pages of a console, and poller.go polls the consoles. tracker.go finds and tracks disagreements by
// the rules of replicas.go, proxies.go and controllers.go, without I/O. server.go, overview.go and matrix.go serve the
// pages.
package comparison
