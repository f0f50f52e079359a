package catalog

import (
	"fmt"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/node"
	"violetturn/internal/sched"
	"violetturn/internal/statecache"
)

// Backoff is how long an offer that was refused is left alone.
type Backoff struct {
	until time.Time
	wait  time.Duration
}

// ShortestBoot is how long the soonest machine takes to boot.
func (c *Catalog) ShortestBoot() time.Duration {
	startup := 0.0
	for _, f := range c.MachineTypes {
		if startup == 0 || f.BootS < startup {
			startup = f.BootS
		}
	}
	return time.Duration(startup * float64(time.Second))
}

// MachineCapacity returns a machine type's size.
func (c *Catalog) MachineCapacity(machineType string) (sched.Resources, *cloud.MachineType) {
	for i := range c.MachineTypes {
		f := &c.MachineTypes[i]
		if f.Name == machineType {
			return sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}, f
		}
	}
	return sched.Resources{}, nil
}

// FetchSeconds is how long fetching a job's image takes at least.
func (c *Catalog) FetchSeconds(r *api.Job) float64 {
	best := 0.0
	for _, f := range c.MachineTypes {
		best = max(best, f.FetchGBPerS)
	}
	if best <= 0 {
		return 0
	}
	return r.ImageGB / best
}

// RejectionReason returns why a job can never run, "" if it can.
func (c *Catalog) RejectionReason(r *api.Job) string {
	team, ok := c.node.Settings.Team(r.Team)
	if !ok {
		return "unknown team"
	}
	k := 1.0
	if r.Kind != api.Array {
		k = float64(r.Tasks)
	}
	if team.CPUsMax > 0 && r.CPUs*k > team.CPUsMax+1e-6 || team.GPUsMax > 0 && r.GPUs*k > team.GPUsMax+1e-6 {
		return "more than the team's limit"
	}
	ask := statecache.TaskRequestOf(r)
	zones := map[string]bool{}
	for _, f := range c.MachineTypes {
		cp := sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}
		for _, s := range f.Zones {
			if cp.Fits(ask.Need) && ask.Allows(f.Name, s, false) {
				zones[s] = true
			}
		}
	}
	switch {
	case len(zones) == 0:
		return "fits no allowed machine type"
	case r.Spread && r.Tasks > 1 && (len(zones) == 1 || r.Together):
		return "can't be scattered"
	}
	return ""
}

// AvailableOffers lists what can be rented, less what was refused lately.
func (c *Catalog) AvailableOffers(now time.Time) []sched.Offer {
	var out []sched.Offer
	for _, f := range c.MachineTypes {
		cp := sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB}
		for _, zone := range f.Zones {
			for _, o := range []sched.Offer{
				{MachineType: f.Name, Zone: zone, Cap: cp, Price: f.Price},
				{MachineType: f.Name, Zone: zone, Spot: true, Cap: cp, Price: f.SpotPrice},
			} {
				if r, ok := c.CapacityBackoffs[OfferKey(o)]; !ok || now.After(r.until) {
					out = append(out, o)
				}
			}
		}
	}
	return out
}

// PriceOf returns what a machine of the type costs, as a spot machine or not.
func PriceOf(f *cloud.MachineType, spot bool) float64 {
	if spot {
		return f.SpotPrice
	}
	return f.Price
}

// OfferKey names an offer by machine type, zone and whether it is spot.
func OfferKey(o sched.Offer) string { return fmt.Sprintf("%s/%s/%t", o.MachineType, o.Zone, o.Spot) }

// BackOff keeps an offer from being asked for again at once, ever longer: what
// was refused seldom comes back sooner than a machine would boot.
func (c *Catalog) BackOff(key, machineType string, now time.Time) {
	_, f := c.MachineCapacity(machineType)
	startup := c.node.Settings.WorkerLease()
	if f != nil {
		startup = time.Duration(f.BootS * float64(time.Second))
	}
	r := c.CapacityBackoffs[key]
	r.wait = min(max(2*r.wait, startup/4), 2*startup)
	r.until = now.Add(r.wait)
	c.CapacityBackoffs[key] = r
}

// Catalog is what the cloud offers.
type Catalog struct {
	node *node.Info

	MachineTypes     []cloud.MachineType
	CapacityBackoffs map[string]Backoff // by offer, when it may be asked for again
}

// New returns a catalog without machine types, until the cloud has told of them.
func New(node *node.Info) *Catalog {
	return &Catalog{node: node, CapacityBackoffs: map[string]Backoff{}}
}

// CloudRefuses reports whether the cloud refuses all that it could rent in a zone.
func (c *Catalog) CloudRefuses(zone string, now time.Time) bool {
	offered := false
	for _, o := range c.AvailableOffers(now) {
		offered = offered || o.Zone == zone
	}
	return len(c.MachineTypes) > 0 && !offered
}

// MachineSizes returns the sizes of all machine types.
func (c *Catalog) MachineSizes() []sched.Resources {
	out := make([]sched.Resources, 0, len(c.MachineTypes))
	for i := range c.MachineTypes {
		f := &c.MachineTypes[i]
		out = append(out, sched.Resources{CPUs: f.CPUs, GPUs: f.GPUs, MemGB: f.MemGB})
	}
	return out
}
