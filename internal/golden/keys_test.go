package golden

import (
	"encoding/json"
	"io"
	"log/slog"
	"testing"

	"violetturn/internal/statecache"
)

// TestStateServiceKeys checks that the keys in the state service are those of keys.txt.
func TestStateServiceKeys(t *testing.T) {
	want := readEncodings(t, "keys.txt")
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
	if len(want) != len(keys) {
		t.Errorf("keys.txt has %d keys, want %d", len(want), len(keys))
	}
	for name, key := range keys {
		if key != want[name] {
			t.Errorf("the key of %s is %s, want %s", name, key, want[name])
		}
	}
}

// TestCacheAppliesRecordsUnderTheirKeys checks that the cache derives a record's type from
// its key: a record applied under its key of keys.txt has the same encoding when read back.
func TestCacheAppliesRecordsUnderTheirKeys(t *testing.T) {
	keys, recordEncodings, variantEncodings :=
		readEncodings(t, "keys.txt"), readEncodings(t, "records.txt"), readEncodings(t, "variants.txt")
	for _, tt := range []struct {
		key, encoding string
		read          func(c *statecache.Cache) any // a pointer
	}{
		{"job", recordEncodings["job.Main inner"], func(c *statecache.Cache) any { return c.Jobs["run-1"].Record }},
		{"task range", recordEncodings["job.Chunk"], func(c *statecache.Cache) any {
			return c.TaskRanges["run-1"][statecache.RangeKey{Index: 3}].Record
		}},
		{"task range after two splits", recordEncodings["job.Chunk"], func(c *statecache.Cache) any {
			return c.TaskRanges["run-1"][statecache.RangeKey{Generation: 2, Index: 3}].Record
		}},
		{"capacity", recordEncodings["part.Record"], func(c *statecache.Cache) any { return c.Capacities["n0"].Record }},
		{"leader", variantEncodings["shard.LeaderRecord"], func(c *statecache.Cache) any { return c.Leaders["n0"].Record }},
		{"node", recordEncodings["part.Own"], func(c *statecache.Cache) any { return c.Nodes["n0"].Record }},
		{"page of machines", recordEncodings["part.Machine"], func(c *statecache.Cache) any { return c.Machines["i-000012"] }},
		{"quota", recordEncodings["part.Usage"], func(c *statecache.Cache) any { return c.Quotas[statecache.QuotaID("a/b c")].Record }},
		{"capability", recordEncodings["part.Mark"], func(c *statecache.Cache) any { return c.Capabilities["n0"].Record }},
		{"zone", recordEncodings["zonehealth.Record"], func(c *statecache.Cache) any { return c.Zones[statecache.ZoneID("x/1")].Record }},
		{"term", "7", func(c *statecache.Cache) any { term := c.HighestTerm(); return &term }},
	} {
		t.Run(tt.key, func(t *testing.T) {
			cache := statecache.New(slog.New(slog.NewTextHandler(io.Discard, nil)))
			value := tt.encoding
			if tt.key == "page of machines" {
				value = `{"i-000012":` + tt.encoding + `}`
			}
			cache.Apply(keys[tt.key], json.RawMessage(value), 1)
			if got := encode(t, tt.read(cache)); got != tt.encoding {
				t.Errorf("cached record is encoded as %s, want %s", got, tt.encoding)
			}
		})
	}
}
