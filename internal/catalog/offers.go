package catalog

import (
	"time"

	"violetturn/internal/numeric"
	"violetturn/internal/sched"
)

// offerKey identifies an offer; it does not contain the price, which may change.
type offerKey struct {
	machineType, zone string
	spot              bool
}

func offerKeyOf(offer *sched.Offer) offerKey {
	return offerKey{machineType: offer.MachineType, zone: offer.Zone, spot: offer.Spot}
}

// backoff describes how long a refused offer is not requested again.
type backoff struct {
	until time.Time
	delay time.Duration // delay after the last refusal, which the next refusal doubles
}

// AvailableOffers returns the combinations of machine type, zone and spot or on-demand machine that
// can be rented, except refused ones whose backoff has not ended.
func (c *Catalog) AvailableOffers(now time.Time) []sched.Offer {
	var offers []sched.Offer
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		capacity := resourcesOf(machineType)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				offer := sched.Offer{
					MachineType: machineType.Name,
					Zone:        zone,
					Spot:        spot,
					Capacity:    capacity,
					Price:       PriceOf(machineType, spot),
				}
				if entry, ok := c.backoffs[offerKeyOf(&offer)]; !ok || now.After(entry.until) {
					offers = append(offers, offer)
				}
			}
		}
	}
	return offers
}

// BackOff delays further requests for a refused offer. The delay doubles with each refusal, from a
// quarter of the machine type's boot time to twice the boot time, because a refused offer seldom
// becomes available sooner than a machine would boot.
func (c *Catalog) BackOff(offer *sched.Offer, now time.Time) {
	bootTime := c.node.Settings.WorkerLease() // used if the catalog does not contain the machine type
	if _, machineType := c.MachineCapacity(offer.MachineType); machineType != nil {
		bootTime = numeric.Duration(machineType.BootS)
	}
	entry := c.backoffs[offerKeyOf(offer)]
	entry.delay = min(max(2*entry.delay, bootTime/4), 2*bootTime)
	entry.until = now.Add(entry.delay)
	c.backoffs[offerKeyOf(offer)] = entry
}

// ClearBackoff makes an offer available again. It is called when such a machine has been rented or
// returned.
func (c *Catalog) ClearBackoff(offer *sched.Offer) { delete(c.backoffs, offerKeyOf(offer)) }

// AllOffersRefused reports whether a zone has no available offer, because the cloud has refused all
// of them recently. It returns false before the machine types have been read.
func (c *Catalog) AllOffersRefused(zone string, now time.Time) bool {
	available := false
	for _, offer := range c.AvailableOffers(now) {
		available = available || offer.Zone == zone
	}
	return c.IsLoaded() && !available
}
