// Package server puts one running instance together from its configuration: state store, controller, publish-subscribe
// server, endpoint discovery, cluster membership and console. Shutdown releases the parts in reverse
// order.
//
// Serve runs an instance of its own protocol, ServePlatform one on the operators' platform. The parts:
//
//   - instance.go: start, operation and graceful shutdown; platform.go the same on the platform;
//   - recorder.go: what goes to the state store, asynchronously, and the search of stored decisions;
//   - membership.go: the instance as a member of a cluster; runner.go: the controller's start and stop;
//   - settings.go: the settings in force and their reload; loglevel.go: a log level that can change in operation;
//   - statistics.go: the periodic statistics in the log.
//
// Guarantees: the controller never waits for the disk. A configuration that cannot be reloaded changes nothing. At the
// end proxies are notified in portions within the configured grace period, and pending state is written.
//
// Limits: when the process is killed, the last quarter of a second of the decision log, and an endpoint list that came
// within it, are lost; the next start begins with the list before.
package server
