package agent

import "flag"

// init fixes the seed of the generated inputs, so that all runs use the same ones; -rapid.seed
// selects others.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
