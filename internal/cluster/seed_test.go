package cluster

import "flag"

// init fixes the seed of rapid, so that every run draws the same cases and a different result is due to a change of the
// code. -rapid.seed N draws other cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
