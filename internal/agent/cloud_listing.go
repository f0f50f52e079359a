package agent

import (
	"maps"
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/leadership"
	"violetturn/internal/logkey"
	"violetturn/internal/shard"
)

// mismatchDelayLags is how many lags of the cloud's list must pass before a difference between
// the list and the machine records counts. Until then, a machine on the list without a record, or
// with a record and not on the list, may just have been rented or returned.
const mismatchDelayLags = 4

// failedMachineMisses is the value that MissingFromLists gets once the cloud lists a machine as
// failed: the machine counts as missing from that many consecutive lists.
const failedMachineMisses = 2

// CloudListing holds the cloud's newest list of machines. The lock of internal/state guards it.
type CloudListing struct {
	registry          *Registry
	listed            map[string]bool      // machines on the list; false if listed as failed
	starting          map[string]bool      // machines that the list shows as starting
	unregisteredSince map[string]time.Time // when each listed machine without a record was first found on the list
}

func newCloudListing(registry *Registry) *CloudListing {
	return &CloudListing{registry: registry, unregisteredSince: map[string]time.Time{}}
}

// HasOperational reports whether a machine is on the list and not listed as failed.
func (c *CloudListing) HasOperational(host string) bool { return c.listed[host] }

// IsStarting reports whether the list shows a machine as starting.
func (c *CloudListing) IsStarting(host string) bool { return c.starting[host] }

// replace stores a new list in place of the previous one.
func (c *CloudListing) replace(machines []cloud.Machine) {
	c.listed, c.starting = map[string]bool{}, map[string]bool{}
	for _, machine := range machines {
		c.listed[machine.UID] = machine.Phase != cloud.MachineFailed
		if machine.Phase == cloud.MachineStarting {
			c.starting[machine.UID] = true
		}
	}
	maps.DeleteFunc(c.unregisteredSince, func(host string, _ time.Time) bool { return !c.isListed(host) })
}

// isListed reports whether a machine is on the list, also if listed as failed.
func (c *CloudListing) isListed(host string) bool {
	_, found := c.listed[host]
	return found
}

// unregisteredDuration records that a listed machine has no record, and returns for how long that
// has been so.
func (c *CloudListing) unregisteredDuration(host string, now time.Time) time.Duration {
	if _, found := c.unregisteredSince[host]; !found {
		c.unregisteredSince[host] = now
	}
	return now.Sub(c.unregisteredSince[host])
}

// Update stores the cloud's list, whose first page was read at readStartedAt, and compares it with
// the machine records. The list lags by up to lag and may be older than the previous one, so a
// difference is only a hint: only the cloud's response to a request to return a machine is definite.
func (c *CloudListing) Update(machines []cloud.Machine, readStartedAt time.Time, lag time.Duration) {
	now, mismatchDelay := c.registry.node.Now(), mismatchDelayLags*lag
	c.replace(machines)
	for _, listed := range machines {
		record := c.registry.cache.Machines[listed.UID]
		if record == nil {
			c.addUnregistered(listed, now, mismatchDelay)
			continue
		}
		delete(c.unregisteredSince, listed.UID)
		if record.Addr == "" {
			c.registry.cache.SetAddress(listed.UID, listed.Addr)
		}
		if leadership := c.registry.leadership.InForce(record.Shard); leadership != nil {
			c.updateListedAgent(listed, leadership)
		}
	}
	c.countMissing(readStartedAt, mismatchDelay)
}

// addUnregistered adds a machine on the list that has no record to the unregistered machines,
// once it has stayed on the list long enough. Before that, a peer may just have rented it, or it
// may have been returned and still be listed.
func (c *CloudListing) addUnregistered(machine cloud.Machine, now time.Time, mismatchDelay time.Duration) {
	if c.unregisteredDuration(machine.UID, now) > mismatchDelay && machine.Phase != cloud.MachineFailed {
		c.registry.unregistered.Add(machine.UID, shard.Machine{
			MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot, Addr: machine.Addr,
		})
	}
}

// updateListedAgent updates the agent of a listed machine whose shard this controller leads. A
// machine that the cloud lists as failed is cordoned.
func (c *CloudListing) updateListedAgent(machine cloud.Machine, leadership *leadership.Leadership) {
	agent := c.registry.Ensure(machine.UID, leadership)
	agent.MissingFromLists = 0
	if machine.Phase == cloud.MachineFailed && !agent.Cordoned {
		c.registry.node.Log.Info("machine failed", logkey.Host(machine.UID))
		agent.Cordoned, agent.MissingFromLists = true, failedMachineMisses
	}
}

// countMissing increments MissingFromLists for each machine that has a record and is not on the
// list, except for machines so new that the list may not include them yet. A listed machine stays
// on the list until it is terminated. A machine that was registered from a delayed copy of a
// heartbeat never appears on the list.
func (c *CloudListing) countMissing(readStartedAt time.Time, mismatchDelay time.Duration) {
	for host, agent := range c.registry.agents {
		machine := c.registry.cache.Machines[host]
		if machine == nil || c.isListed(host) {
			continue
		}
		if machine.Age(readStartedAt) > mismatchDelay+c.registry.node.Settings.HeartbeatInterval() {
			agent.MissingFromLists++
		}
	}
}
