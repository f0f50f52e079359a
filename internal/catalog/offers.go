package catalog

import (
	"time"

	"violetturn/internal/sched"
)

// offerKey names an offer, whatever it costs at the moment.
type offerKey struct {
	machineType, zone string
	spot              bool
}

func keyOf(offer *sched.Offer) offerKey {
	return offerKey{machineType: offer.MachineType, zone: offer.Zone, spot: offer.Spot}
}

// backoff is when a refused offer may be asked for again, and how long the pause was.
type backoff struct {
	until time.Time
	pause time.Duration
}

// AvailableOffers lists what can be rented, without what was refused lately.
func (c *Catalog) AvailableOffers(now time.Time) []sched.Offer {
	var offers []sched.Offer
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		size := sizeOf(machineType)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				offer := sched.Offer{
					MachineType: machineType.Name,
					Zone:        zone,
					Spot:        spot,
					Capacity:    size,
					Price:       PriceOf(machineType, spot),
				}
				if refused, ok := c.backoffs[keyOf(&offer)]; !ok || now.After(refused.until) {
					offers = append(offers, offer)
				}
			}
		}
	}
	return offers
}

// BackOff keeps an offer that was refused from being asked for again at once, ever longer: what
// was refused seldom comes back sooner than a machine would boot.
func (c *Catalog) BackOff(offer *sched.Offer, now time.Time) {
	boot := c.node.Settings.WorkerLease()
	if _, machineType := c.MachineCapacity(offer.MachineType); machineType != nil {
		boot = seconds(machineType.BootS)
	}
	entry := c.backoffs[keyOf(offer)]
	entry.pause = min(max(2*entry.pause, boot/4), 2*boot)
	entry.until = now.Add(entry.pause)
	c.backoffs[keyOf(offer)] = entry
}

// ClearBackoff lets an offer be asked for again: the cloud gave such a machine, or got one back.
func (c *Catalog) ClearBackoff(offer *sched.Offer) { delete(c.backoffs, keyOf(offer)) }

// AllOffersRefused reports whether the cloud refuses all that it could rent in a zone.
func (c *Catalog) AllOffersRefused(zone string, now time.Time) bool {
	offered := false
	for _, offer := range c.AvailableOffers(now) {
		offered = offered || offer.Zone == zone
	}
	return c.IsLoaded() && !offered
}
