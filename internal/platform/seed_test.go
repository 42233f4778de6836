package platform

import "flag"

// A fixed seed makes every run draw the same cases, so that a failure comes from the code. -rapid.seed N draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
