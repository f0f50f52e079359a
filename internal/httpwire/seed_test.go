package httpwire

import "flag"

// A fixed seed makes the generated inputs the same in every run; -rapid.seed sets another.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
