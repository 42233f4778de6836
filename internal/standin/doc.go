// Package standin holds what the stand-ins for outside systems share: an event loop that runs all stand-ins of a
// scenario one step at a time, so that none of them needs a lock and observations have one order, and seeded random
// numbers.
package standin
