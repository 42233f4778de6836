package placement

import "flag"

// A fixed seed makes every run draw the same values, so that a failure is caused by the change under test. The flag
// -rapid.seed N selects other values.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
