package agent

import "flag"

// Generated inputs are the same every time; -rapid.seed draws others.
func init() {
	if err := flag.Set("rapid.seed", "20261201"); err != nil {
		panic(err)
	}
}
