package controller

import (
	"flag"
)

// init fixes the seed of generated inputs, so that each run draws the same ones. The flag
// -rapid.seed selects another seed.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
