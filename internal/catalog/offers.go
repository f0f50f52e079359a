package catalog

import (
	"time"

	"violetturn/internal/sched"
)

// offerKey identifies an offer regardless of its current price.
type offerKey struct {
	machineType, zone string
	spot              bool
}

func offerKeyOf(offer *sched.Offer) offerKey {
	return offerKey{machineType: offer.MachineType, zone: offer.Zone, spot: offer.Spot}
}

// backoff is the time until which a refused offer is not requested again, and the delay that led to
// it.
type backoff struct {
	until time.Time
	delay time.Duration
}

// AvailableOffers returns all offers except refused ones whose backoff has not ended.
func (c *Catalog) AvailableOffers(now time.Time) []sched.Offer {
	var offers []sched.Offer
	for i := range c.machineTypes {
		machineType := &c.machineTypes[i]
		size := resourcesOf(machineType)
		for _, zone := range machineType.Zones {
			for _, spot := range []bool{false, true} {
				offer := sched.Offer{
					MachineType: machineType.Name,
					Zone:        zone,
					Spot:        spot,
					Capacity:    size,
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
// quarter of the boot time up to two boot times, because a refused offer seldom becomes available
// sooner than a machine would boot.
func (c *Catalog) BackOff(offer *sched.Offer, now time.Time) {
	boot := c.node.Settings.WorkerLease() // substitute for the boot time if the machine type is unknown
	if _, machineType := c.MachineCapacity(offer.MachineType); machineType != nil {
		boot = durationOfSeconds(machineType.BootS)
	}
	entry := c.backoffs[offerKeyOf(offer)]
	entry.delay = min(max(2*entry.delay, boot/4), 2*boot)
	entry.until = now.Add(entry.delay)
	c.backoffs[offerKeyOf(offer)] = entry
}

// ClearBackoff makes an offer available again, after the cloud rented such a machine or received
// one back.
func (c *Catalog) ClearBackoff(offer *sched.Offer) { delete(c.backoffs, offerKeyOf(offer)) }

// AllOffersRefused reports whether a zone has no available offer, because the cloud refused all of
// them recently. It returns false before the machine types have been read.
func (c *Catalog) AllOffersRefused(zone string, now time.Time) bool {
	available := false
	for _, offer := range c.AvailableOffers(now) {
		available = available || offer.Zone == zone
	}
	return c.IsLoaded() && !available
}
