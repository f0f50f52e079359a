package catalog

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/node"
	"violetturn/internal/sched"
)

// testCatalog returns a catalog of a small machine type in one zone and a large one in two, and a
// team with a limit.
func testCatalog(t *testing.T) *Catalog {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	settings.Facts.Workers.HeartbeatIntervalS, settings.Facts.Workers.LeaseS = 1, 9
	settings.Facts.Teams = []config.Team{{Name: "limited", MaxGPUs: 4}, {Name: "free"}}
	c := New(node.New(settings, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil))))
	c.SetMachineTypes([]cloud.MachineType{
		{Name: "small", CPUs: 4, MemGB: 16, Price: 1, SpotPrice: 0.5, BootS: 40, FetchGBPerS: 1, Zones: []string{"x"}},
		{Name: "large", CPUs: 16, GPUs: 2, MemGB: 64, Price: 4, SpotPrice: 2, BootS: 60, FetchGBPerS: 2, Zones: []string{"x", "y"}},
	})
	return c
}

func TestRejectionReason(t *testing.T) {
	c := testCatalog(t)
	const (
		fitsNone  = "fits no allowed machine type"
		overLimit = "more than the team's limit"
		cantBe    = "can't be scattered"
	)
	for name, test := range map[string]struct {
		spec api.Job
		want string
	}{
		"fits":                      {api.Job{Team: "free", Kind: api.Array, Tasks: 9, CPUs: 1, MemGB: 1}, ""},
		"no such team":              {api.Job{Team: "other", Kind: api.Array, Tasks: 1, CPUs: 1}, "unknown team"},
		"too large":                 {api.Job{Team: "free", Kind: api.Array, Tasks: 1, CPUs: 17}, fitsNone},
		"no such machine type":      {api.Job{Team: "free", Kind: api.Array, Tasks: 1, MachineTypes: []string{"other"}}, fitsNone},
		"one task beyond the limit": {api.Job{Team: "limited", Kind: api.Array, Tasks: 1, GPUs: 5}, overLimit},
		"an array's tasks may wait": {api.Job{Team: "limited", Kind: api.Array, Tasks: 9, GPUs: 1}, ""},
		"a gang's tasks may not":    {api.Job{Team: "limited", Kind: api.Gang, Tasks: 5, GPUs: 1}, overLimit},
		"spread over two zones":     {api.Job{Team: "free", Kind: api.Array, Tasks: 2, CPUs: 8, Spread: true}, ""},
		"spread in one zone":        {api.Job{Team: "free", Kind: api.Array, Tasks: 2, CPUs: 1, Zone: "x", Spread: true}, cantBe},
		"spread and together":       {api.Job{Team: "free", Kind: api.Array, Tasks: 2, CPUs: 1, Spread: true, SingleZone: true}, cantBe},
		"one task is spread":        {api.Job{Team: "free", Kind: api.Array, Tasks: 1, CPUs: 1, Zone: "x", Spread: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.RejectionReason(&test.spec); got != test.want {
				t.Errorf("%q, not %q", got, test.want)
			}
		})
	}
}

// A refused offer is not available for a quarter of a boot, then for twice as long, up to two
// boots; the same machine type elsewhere, or not spot, is. A rental clears that.
func TestRefusedOffer(t *testing.T) {
	c := testCatalog(t)
	now := time.Unix(1_800_000_000, 0)
	refused := sched.Offer{MachineType: "large", Zone: "y", Spot: true}
	available := func(at time.Time) bool {
		for _, offer := range c.AvailableOffers(at) {
			if keyOf(&offer) == keyOf(&refused) {
				return true
			}
		}
		return false
	}
	if got := len(c.AvailableOffers(now)); got != 6 || !available(now) {
		t.Fatalf("%d offers, not 6", got)
	}
	for i, pause := range []time.Duration{15, 30, 60, 120, 120} {
		pause *= time.Second
		c.BackOff(&refused, now)
		if available(now) || available(now.Add(pause)) || !available(now.Add(pause+1)) {
			t.Errorf("refusal %d: not away for %v", i+1, pause)
		}
	}
	if got := len(c.AvailableOffers(now)); got != 5 {
		t.Errorf("%d offers beside the refused one, not 5", got)
	}
	c.ClearBackoff(&refused)
	if !available(now) {
		t.Error("not available though it was rented")
	}
}

func TestCloudRefuses(t *testing.T) {
	c := testCatalog(t)
	now := time.Unix(1_800_000_000, 0)
	for _, spot := range []bool{false, true} {
		if c.AllOffersRefused("y", now) {
			t.Errorf("refuses y though an offer is left")
		}
		c.BackOff(&sched.Offer{MachineType: "large", Zone: "y", Spot: spot}, now)
	}
	if !c.AllOffersRefused("y", now) || c.AllOffersRefused("x", now) {
		t.Errorf("refuses: x %t, y %t", c.AllOffersRefused("x", now), c.AllOffersRefused("y", now))
	}
	if New(c.node).AllOffersRefused("y", now) {
		t.Error("refuses before the machine types are known")
	}
}

func TestMachineTypes(t *testing.T) {
	c := testCatalog(t)
	if got := c.ShortestBoot(); got != 40*time.Second {
		t.Errorf("shortest boot %v", got)
	}
	if got := New(c.node).ShortestBoot(); got != 0 {
		t.Errorf("shortest boot of no machine type %v", got)
	}
	if size, found := c.MachineCapacity("large"); found == nil || size != (sched.Resources{CPUs: 16, GPUs: 2, MemGB: 64}) {
		t.Errorf("large: %v, %v", size, found)
	}
	if size, found := c.MachineCapacity("other"); found != nil || size != (sched.Resources{}) {
		t.Errorf("other: %v, %v", size, found)
	}
	if got := c.FetchSeconds(&api.Job{ImageGB: 7}); got != 3.5 {
		t.Errorf("fetches for %v seconds", got)
	}
	if got := New(c.node).FetchSeconds(&api.Job{ImageGB: 7}); got != 0 {
		t.Errorf("fetches for %v seconds though no rate is known", got)
	}
}
