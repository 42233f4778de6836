package comparison

import "flag"

// init sets a fixed seed for rapid, so that a test has the same result in every run. The flag -rapid.seed N selects
// another seed.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}
