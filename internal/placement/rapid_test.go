package placement

import "flag"

// The same draws in every run, so that a failure follows from the change under test; -rapid.seed N draws others.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
