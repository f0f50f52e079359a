package catalog

import (
	"io"
	"log/slog"
	"math"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/node"
	"violetturn/internal/numeric"
	"violetturn/internal/sched"
)

// newTestCatalog returns a catalog with a small machine type in one zone and a large one in two
// zones, and settings with one limited and one unlimited team.
func newTestCatalog(t *testing.T) *Catalog {
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
	c := newTestCatalog(t)
	const (
		noMachineType    = "fits no allowed machine type"
		exceedsTeamLimit = "more than the team's limit"
		cannotSpread     = "can't be scattered"
	)
	for name, test := range map[string]struct {
		spec api.Job
		want string
	}{
		"fits":                    {api.Job{Team: "free", Kind: api.Array, Tasks: 9, CPUs: 1, MemGB: 1}, ""},
		"no such team":            {api.Job{Team: "other", Kind: api.Array, Tasks: 1, CPUs: 1}, "unknown team"},
		"too large":               {api.Job{Team: "free", Kind: api.Array, Tasks: 1, CPUs: 17}, noMachineType},
		"no such machine type":    {api.Job{Team: "free", Kind: api.Array, Tasks: 1, MachineTypes: []string{"other"}}, noMachineType},
		"one task over the limit": {api.Job{Team: "limited", Kind: api.Array, Tasks: 1, GPUs: 5}, exceedsTeamLimit},
		"array over the limit":    {api.Job{Team: "limited", Kind: api.Array, Tasks: 9, GPUs: 1}, ""},
		"gang over the limit":     {api.Job{Team: "limited", Kind: api.Gang, Tasks: 5, GPUs: 1}, exceedsTeamLimit},
		"spread over two zones":   {api.Job{Team: "free", Kind: api.Array, Tasks: 2, CPUs: 8, Spread: true}, ""},
		"spread in one zone":      {api.Job{Team: "free", Kind: api.Array, Tasks: 2, CPUs: 1, Zone: "x", Spread: true}, cannotSpread},
		"spread and together": {
			api.Job{Team: "free", Kind: api.Array, Tasks: 2, CPUs: 1, Spread: true, SingleZone: true},
			cannotSpread,
		},
		"one task is spread": {api.Job{Team: "free", Kind: api.Array, Tasks: 1, CPUs: 1, Zone: "x", Spread: true}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if got := c.RejectionReason(&test.spec); got != test.want {
				t.Errorf("rejection reason is %q, want %q", got, test.want)
			}
		})
	}
}

// A refused offer is unavailable for a quarter of the boot time, then twice as long after each
// refusal, up to two boot times. Other offers stay available: the same machine type in another
// zone, or not as a spot machine. A successful rental clears the backoff.
func TestRefusedOfferBacksOff(t *testing.T) {
	c := newTestCatalog(t)
	now := time.Unix(1_800_000_000, 0)
	refused := sched.Offer{MachineType: "large", Zone: "y", Spot: true}
	available := func(at time.Time) bool {
		for _, offer := range c.AvailableOffers(at) {
			if offerKeyOf(&offer) == offerKeyOf(&refused) {
				return true
			}
		}
		return false
	}
	if got := len(c.AvailableOffers(now)); got != 6 || !available(now) {
		t.Fatalf("%d offers, with %+v available: %t, want 6, true", got, refused, available(now))
	}
	for i, delay := range []time.Duration{15, 30, 60, 120, 120} {
		delay *= time.Second
		c.BackOff(&refused, now)
		if available(now) || available(now.Add(delay)) || !available(now.Add(delay+1)) {
			t.Errorf("refusal %d: offer is available at once: %t, after %v: %t, 1 ns later: %t, want false, false and true",
				i+1, available(now), delay, available(now.Add(delay)), available(now.Add(delay+1)))
		}
	}
	if got := len(c.AvailableOffers(now)); got != 5 {
		t.Errorf("%d offers besides the refused one, want 5", got)
	}
	c.ClearBackoff(&refused)
	if !available(now) {
		t.Errorf("offer %+v is not available after ClearBackoff, want it available", refused)
	}
}

func TestZoneIsRefusedOnlyWhenAllItsOffersAre(t *testing.T) {
	c := newTestCatalog(t)
	now := time.Unix(1_800_000_000, 0)
	for _, spot := range []bool{false, true} {
		if c.AllOffersRefused("y", now) {
			t.Errorf("zone y counts as refused before its offer with spot %t was refused, want not refused", spot)
		}
		c.BackOff(&sched.Offer{MachineType: "large", Zone: "y", Spot: spot}, now)
	}
	if !c.AllOffersRefused("y", now) || c.AllOffersRefused("x", now) {
		t.Errorf("refused: zone x %t, zone y %t, want false and true", c.AllOffersRefused("x", now), c.AllOffersRefused("y", now))
	}
	if New(c.node).AllOffersRefused("y", now) {
		t.Error("zone y counts as refused before the machine types are read, want not refused")
	}
}

func TestMachineTypeLookups(t *testing.T) {
	c := newTestCatalog(t)
	if got := c.ShortestBoot(); got != 40*time.Second {
		t.Errorf("shortest boot time is %v, want 40s", got)
	}
	if got := New(c.node).ShortestBoot(); got != 0 {
		t.Errorf("shortest boot time without machine types is %v, want 0", got)
	}
	large := sched.Resources{CPUs: 16, GPUs: 2, MemGB: 64, ReportBytes: api.MaxTasksBytes}
	if size, found := c.MachineCapacity("large"); found == nil || size != large {
		t.Errorf("machine type large has size %v and description %v, want size %v", size, found, large)
	}
	if size, found := c.MachineCapacity("other"); found != nil || size != (sched.Resources{}) {
		t.Errorf("unknown machine type has size %v and description %v, want none", size, found)
	}
	if got := c.FetchSeconds(&api.Job{ImageGB: 7}); got != 3.5 {
		t.Errorf("fetching takes %v seconds, want 3.5", got)
	}
	if got := New(c.node).FetchSeconds(&api.Job{ImageGB: 7}); got != 0 {
		t.Errorf("fetching takes %v seconds without a known rate, want 0", got)
	}
}

// Guards against boot times that overflow to a negative duration, and against prices and capacities
// below zero or without a finite sum.
func TestMachineTypesAreBounded(t *testing.T) {
	c := newTestCatalog(t)
	for _, amount := range []float64{math.MaxFloat64, -math.MaxFloat64} {
		c.SetMachineTypes([]cloud.MachineType{{
			Name: "m", CPUs: amount, GPUs: amount, MemGB: amount, CacheGB: amount, FetchGBPerS: amount,
			Price: amount, SpotPrice: amount, BootS: amount, Zones: []string{"x"},
		}})
		want := min(max(amount, 0), numeric.MaxAmount)
		if boot := c.ShortestBoot(); boot != numeric.Duration(want) {
			t.Errorf("boot time of %g s is %v, want %v", amount, boot, numeric.Duration(want))
		}
		wantSize := sched.Resources{CPUs: want, GPUs: want, MemGB: want, ReportBytes: api.MaxTasksBytes}
		if size, found := c.MachineCapacity("m"); size != wantSize || found.Price != want {
			t.Errorf("capacities and price of %g are %v and %g, want %g", amount, size, found.Price, want)
		}
	}
	c.SetMachineTypes([]cloud.MachineType{{Name: "m", FetchGBPerS: math.SmallestNonzeroFloat64}})
	if seconds := c.FetchSeconds(&api.Job{ImageGB: 1}); seconds != numeric.MaxAmount {
		t.Errorf("fetching takes %g s, want at most %g", seconds, numeric.MaxAmount)
	}
}
