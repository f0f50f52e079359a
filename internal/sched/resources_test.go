package sched

import (
	"encoding/json"
	"testing"
)

// Resources are encoded as three numbers without rounding, and decoded to the same value.
func TestResourcesJSONRoundTrip(t *testing.T) {
	for _, test := range []struct {
		name    string
		amount  Resources
		encoded string
	}{
		{"none", Resources{}, `[0,0,0]`},
		{"whole", Resources{CPUs: 8, GPUs: 2, MemGB: 64}, `[8,2,64]`},
		{"fractions", Resources{CPUs: 0.1, MemGB: 1e-6}, `[0.1,0,0.000001]`},
		{"not rounded", Resources{CPUs: 0.30000000000000004}, `[0.30000000000000004,0,0]`},
		{"rounded", Resources{CPUs: 0.30000000000000004, MemGB: 1. / 3}.Rounded(), `[0.3,0,0.333333]`},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw, err := json.Marshal(test.amount)
			if err != nil || string(raw) != test.encoded {
				t.Errorf("Marshal() = %s, %v; want %s", raw, err, test.encoded)
			}
			var decoded Resources
			if err := json.Unmarshal([]byte(test.encoded), &decoded); err != nil || decoded != test.amount {
				t.Errorf("Unmarshal() = %v, %v; want %v", decoded, err, test.amount)
			}
		})
	}
	var r Resources
	if err := json.Unmarshal([]byte(`{"cpus":1}`), &r); err == nil {
		t.Error("Unmarshal() of a JSON object succeeded, want an error")
	}
}
