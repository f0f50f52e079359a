package sched

import (
	"encoding/json"
	"testing"
)

// Resources are recorded as three numbers and read back the same; rounding is apart.
func TestResourcesForm(t *testing.T) {
	for _, x := range []struct {
		name   string
		amount Resources
		form   string
	}{
		{"none", Resources{}, `[0,0,0]`},
		{"whole", Resources{CPUs: 8, GPUs: 2, MemGB: 64}, `[8,2,64]`},
		{"fractions", Resources{CPUs: 0.1, MemGB: 1e-6}, `[0.1,0,0.000001]`},
		{"not rounded", Resources{CPUs: 0.30000000000000004}, `[0.30000000000000004,0,0]`},
		{"rounded", Resources{CPUs: 0.30000000000000004, MemGB: 1. / 3}.Rounded(), `[0.3,0,0.333333]`},
	} {
		t.Run(x.name, func(t *testing.T) {
			raw, err := json.Marshal(x.amount)
			if err != nil || string(raw) != x.form {
				t.Errorf("recorded as %s, %v", raw, err)
			}
			var back Resources
			if err := json.Unmarshal([]byte(x.form), &back); err != nil || back != x.amount {
				t.Errorf("read as %v, %v", back, err)
			}
		})
	}
	var r Resources
	if err := json.Unmarshal([]byte(`{"cpus":1}`), &r); err == nil {
		t.Error("an object is read as resources")
	}
}
