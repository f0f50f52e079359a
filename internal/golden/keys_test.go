package golden

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	"violetturn/internal/statecache"
)

// TestKeys checks that the keys of the state service are those that keys.txt fixes.
func TestKeys(t *testing.T) {
	fixed := readForms(t, "keys.txt")
	keys := map[string]string{
		"term":                        statecache.TermKey,
		"job":                         statecache.JobKey("run-1"),
		"task range":                  statecache.TaskRangeKey("run-1", 0, 3),
		"task range after two splits": statecache.TaskRangeKey("run-1", 2, 3),
		"capacity":                    statecache.CapacityKey("n0"),
		"leader":                      statecache.LeaderKey("n0"),
		"node":                        statecache.NodeKey("n0"),
		"page of machines":            statecache.MachinePageKey(statecache.PageID("i-000012", 2)),
		"quota":                       statecache.QuotaKey("a/b c"),
		"capability":                  statecache.CapabilityKey("n0"),
		"zone":                        statecache.ZoneKey("x/1"),
		"final state":                 statecache.FinalStateKey("run-1"),
	}
	if len(fixed) != len(keys) {
		t.Errorf("%d keys are fixed, there are %d", len(fixed), len(keys))
	}
	for name, key := range keys {
		if key != fixed[name] {
			t.Errorf("the key of %s is %s, fixed is %s", name, key, fixed[name])
		}
	}
}

// TestKeysAreRead checks that a record under its fixed key is taken in as what it is: the form
// that a file fixes, read from under the key, comes back from the cache.
func TestKeysAreRead(t *testing.T) {
	keys, forms, variantForms := readForms(t, "keys.txt"), readForms(t, "records.txt"), readForms(t, "variants.txt")
	for _, x := range []struct {
		key, form string
		read      func(c *statecache.Cache) any // a pointer
	}{
		{"job", forms["job.Main inner"], func(c *statecache.Cache) any { return c.Jobs["run-1"].Record }},
		{"task range", forms["job.Chunk"], func(c *statecache.Cache) any {
			return c.TaskRanges["run-1"][statecache.RangeKey{Index: 3}].Record
		}},
		{"task range after two splits", forms["job.Chunk"], func(c *statecache.Cache) any {
			return c.TaskRanges["run-1"][statecache.RangeKey{Generation: 2, Index: 3}].Record
		}},
		{"capacity", forms["part.Record"], func(c *statecache.Cache) any { return c.Capacities["n0"].Record }},
		{"leader", variantForms["shard.LeaderRecord"], func(c *statecache.Cache) any { return c.Leaders["n0"].Record }},
		{"node", forms["part.Own"], func(c *statecache.Cache) any { return c.Nodes["n0"].Record }},
		{"page of machines", forms["part.Machine"], func(c *statecache.Cache) any { return c.Machines["i-000012"] }},
		{"quota", forms["part.Usage"], func(c *statecache.Cache) any { return c.Quotas[statecache.QuotaID("a/b c")].Record }},
		{"capability", forms["part.Mark"], func(c *statecache.Cache) any { return c.Capabilities["n0"].Record }},
		{"zone", forms["zonehealth.Record"], func(c *statecache.Cache) any { return c.Zones[statecache.ZoneID("x/1")].Record }},
		{"term", "7", func(c *statecache.Cache) any { return &c.HighestTerm }},
	} {
		t.Run(x.key, func(t *testing.T) {
			cache := statecache.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
			value := x.form
			if x.key == "page of machines" {
				value = `{"i-000012":` + x.form + `}`
			}
			cache.Apply(keys[x.key], json.RawMessage(value), 1)
			if got := encode(t, x.read(cache)); got != x.form {
				t.Errorf("read as %s, is %s", got, x.form)
			}
		})
	}
}
