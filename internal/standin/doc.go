// Package standin provides the event loop and the seeded random numbers that all stand-ins for outside systems use. All
// stand-ins of a scenario run on one loop, one step at a time, so that none of them needs a lock and their observations
// are totally ordered.
package standin
