// Package server assembles one running instance from its configuration: state store, controller, publish-subscribe
// server, endpoint discovery, cluster membership and console. Shutdown releases these components in reverse order.
//
// Serve runs an instance with peppervale's own protocol, ServePlatform one on the operators' platform. The files:
//
//   - instance.go: start, periodic tasks and graceful shutdown; platform.go: the same on the platform;
//   - recorder.go: asynchronous writes to the state store, and the search of stored decisions;
//   - membership.go: the instance as a cluster member; runner.go: start and stop of the controller;
//   - settings.go: the active settings and their reload; loglevel.go: a log level that can change at run time;
//   - statistics.go: the periodic statistics in the log.
//
// Guarantees: the controller never waits for the disk. A rejected reload changes nothing. During a shutdown, proxies
// are notified in portions within the configured grace period, and pending state is written.
//
// Limits: if the process is killed, the decisions and the endpoint list of the last quarter of a second are lost;
// the next start uses the endpoint list that was stored before.
package server
