package api

import "flag"

// init fixes the seed of generated inputs, so that each run uses the same ones; -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
