// Package netpoll provides a common configuration for the program's nbio engines: TCP on the given addresses, no log
// output of nbio, and few pollers.
//
// Guarantees, which nbio 1.6.8 alone does not give:
//   - Connections are added by their poller's own goroutine, in a polling round that began after they were accepted, so
//     that an event of a closed descriptor never ends another connection that reuses the descriptor's number.
//   - A connection that is being accepted or dialled while the engine stops is closed by the engine, and Stop returns.
//   - If no descriptor is free, accepting waits and continues once one is free.
//
// Handlers.Open, Handlers.Data and the callback of a successful dial run on the connection's poller, and Handlers.Close
// runs after them on another goroutine. Use Engine.CloseOnPoller to close a connection, because its poller may be
// adding it or reading from it.
package netpoll
