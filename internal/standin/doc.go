// Package standin provides the event loop and the seeded random numbers that all stand-ins for outside systems use. All
// stand-ins of a scenario run on one loop, one step at a time, so that no stand-in needs a lock and all observations
// are totally ordered.
package standin
