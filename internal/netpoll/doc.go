// Package netpoll makes the program's nbio engines alike: TCP on the given addresses, no log of their own, few
// pollers.
//
// Guarantees, which nbio 1.6.8 alone does not give:
//   - Connections are added by their poller's own goroutine, in a round that began after they came, so that an event
//     of a closed descriptor never ends another connection that has got its number.
//   - A connection that is being accepted, or dialled, while the engine stops is closed by it, and Stop returns.
//   - An address that finds no free descriptor waits and goes on.
//
// Handlers.Open, Handlers.Data and a dial's callback run on the connection's poller, Handlers.Close after them on
// another goroutine. A connection should be closed by Engine.CloseOnPoller: the poller may be adding it, or reading
// from it.
package netpoll
