package balancer

import "flag"

// A fixed seed gives the same random cases in every run, so that a failure is due to the change under test. The flag
// -rapid.seed N selects other cases.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
