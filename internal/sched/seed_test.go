package sched

import "flag"

// The fixed seed makes generated inputs the same in every run; -rapid.seed selects others.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
