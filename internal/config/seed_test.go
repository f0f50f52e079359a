package config

import "flag"

// init fixes the seed of generated inputs, so that each run uses the same ones; -rapid.seed
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
}
