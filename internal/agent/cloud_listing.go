package agent

import (
	"maps"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/leadership"
	"violetturn/internal/logkey"
	"violetturn/internal/shard"
)

// patienceLags is how many times the lag of the cloud's list it takes until a machine that is on
// it and has no record, or has one and is not on it, is not just new or just returned.
const patienceLags = 4

// missingWhenFailed is how many lists in a row a machine counts as missing from that the cloud
// lists as failed.
const missingWhenFailed = 2

// CloudListing is the cloud's newest list of machines. The lock of internal/state guards it.
type CloudListing struct {
	registry     *Registry
	listed       map[string]bool      // machines on the list; false: listed as failed
	starting     map[string]bool      // those that it shows as starting
	unknownSince map[string]time.Time // those of them without a record, since when they were seen there
}

func newCloudListing(registry *Registry) *CloudListing {
	return &CloudListing{registry: registry, unknownSince: map[string]time.Time{}}
}

// HasOperational reports whether the list has a machine, and not as failed.
func (c *CloudListing) HasOperational(host string) bool { return c.listed[host] }

// IsStarting reports whether the list shows a machine as starting.
func (c *CloudListing) IsStarting(host string) bool { return c.starting[host] }

// replace takes in a new list.
func (c *CloudListing) replace(hosts []cloud.Host) {
	c.listed, c.starting = map[string]bool{}, map[string]bool{}
	for _, host := range hosts {
		c.listed[host.UID] = host.Phase != cloud.MachineFailed
		if host.Phase == cloud.MachineStarting {
			c.starting[host.UID] = true
		}
	}
	maps.DeleteFunc(c.unknownSince, func(host string, _ time.Time) bool { return !c.isOn(host) })
}

// isOn reports whether the list has a machine, be it as failed.
func (c *CloudListing) isOn(host string) bool {
	_, found := c.listed[host]
	return found
}

// unknownFor notes that the list has a machine without a record, and returns for how long that
// has been so.
func (c *CloudListing) unknownFor(host string, now time.Time) time.Duration {
	if _, found := c.unknownSince[host]; !found {
		c.unknownSince[host] = now
	}
	return now.Sub(c.unknownSince[host])
}

// Update takes in the cloud's list, whose first page was read at the time began. It lags
// by up to lag and may be older than the last one, so it only raises questions: the cloud's answer
// to a return settles them.
func (c *CloudListing) Update(hosts []cloud.Host, began time.Time, lag time.Duration) {
	now, patience := c.registry.node.Now(), patienceLags*lag
	c.replace(hosts)
	for _, host := range hosts {
		machine := c.registry.cache.Machines[host.UID]
		if machine == nil {
			c.noteUnknownListed(host, now, patience)
			continue
		}
		delete(c.unknownSince, host.UID)
		if machine.Addr == "" {
			c.registry.cache.SetAddress(host.UID, host.Addr)
		}
		if leadership := c.registry.leadership.InForce(machine.Shard); leadership != nil {
			c.noteListed(host, leadership)
		}
	}
	c.countMissing(began, patience)
}

// noteUnknownListed notes a machine on the list that has no record. It may just have been rented
// by a peer, or been returned and be listed still, so it has to stay on the list for a while.
func (c *CloudListing) noteUnknownListed(host cloud.Host, now time.Time, patience time.Duration) {
	if c.unknownFor(host.UID, now) > patience && host.Phase != cloud.MachineFailed {
		c.registry.unregistered.Add(host.UID, shard.Machine{
			MachineType: host.MachineType, Zone: host.Zone, Spot: host.Spot, Addr: host.Addr,
		})
	}
}

// noteListed notes that the list has a machine of a shard that this node leads.
func (c *CloudListing) noteListed(host cloud.Host, leadership *leadership.Leadership) {
	agent := c.registry.Ensure(host.UID, leadership)
	agent.MissingFromLists = 0
	if host.Phase == cloud.MachineFailed && !agent.Cordoned {
		c.registry.node.Log.Info("machine failed", logkey.Host(host.UID))
		agent.Cordoned, agent.MissingFromLists = true, missingWhenFailed
	}
}

// countMissing counts for each machine that it is missing from the list, unless it is so new that
// the list may not have it yet. One that is on the list stays so until it is terminated; one that
// was registered from a late copy of a heartbeat never is on it.
func (c *CloudListing) countMissing(began time.Time, patience time.Duration) {
	for host, agent := range c.registry.agents {
		machine := c.registry.cache.Machines[host]
		if machine == nil || c.isOn(host) {
			continue
		}
		if began.Sub(time.UnixMilli(machine.RegisteredMS)) > patience+c.registry.node.Settings.HeartbeatInterval() {
			agent.MissingFromLists++
		}
	}
}
