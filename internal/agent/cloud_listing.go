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
	listed       map[string]bool      // machines on the list; false: listed as failed
	starting     map[string]bool      // those that it shows as starting
	unknownSince map[string]time.Time // those of them without a record, since when they were seen there
}

func newCloudListing() *CloudListing {
	return &CloudListing{unknownSince: map[string]time.Time{}}
}

// Has reports whether the list has a machine, and not as failed.
func (c *CloudListing) Has(host string) bool { return c.listed[host] }

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

// NoteMachineList takes in the cloud's list, whose first page was read at the time began. It lags
// by up to lag and may be older than the last one, so it only raises questions: the cloud's answer
// to a return settles them.
func (r *Registry) NoteMachineList(hosts []cloud.Host, began time.Time, lag time.Duration) {
	now, patience := r.node.Now(), patienceLags*lag
	r.listing.replace(hosts)
	for _, host := range hosts {
		machine := r.cache.Machines[host.UID]
		if machine == nil {
			r.noteUnknownListed(host, now, patience)
			continue
		}
		delete(r.listing.unknownSince, host.UID)
		if machine.Addr == "" {
			r.cache.NoteAddress(host.UID, host.Addr)
		}
		if leadership := r.leadership.InForce(machine.Shard); leadership != nil {
			r.noteListed(host, leadership)
		}
	}
	r.countMissing(began, patience)
}

// noteUnknownListed notes a machine on the list that has no record. It may just have been rented
// by a peer, or been returned and be listed still, so it has to stay on the list for a while.
func (r *Registry) noteUnknownListed(host cloud.Host, now time.Time, patience time.Duration) {
	if r.listing.unknownFor(host.UID, now) > patience && host.Phase != cloud.MachineFailed {
		r.unregistered.Note(host.UID, shard.Machine{
			MachineType: host.MachineType, Zone: host.Zone, Spot: host.Spot, Addr: host.Addr,
		})
	}
}

// noteListed notes that the list has a machine of a shard that this node leads.
func (r *Registry) noteListed(host cloud.Host, leadership *leadership.Leadership) {
	agent := r.Ensure(host.UID, leadership)
	agent.MissingFromLists = 0
	if host.Phase == cloud.MachineFailed && !agent.Cordoned {
		r.node.Log.Info("machine failed", logkey.Host(host.UID))
		agent.Cordoned, agent.MissingFromLists = true, missingWhenFailed
	}
}

// countMissing counts for each machine that it is missing from the list, unless it is so new that
// the list may not have it yet. One that is on the list stays so until it is terminated; one that
// was registered from a late copy of a heartbeat never is on it.
func (r *Registry) countMissing(began time.Time, patience time.Duration) {
	for host, agent := range r.agents {
		machine := r.cache.Machines[host]
		if machine == nil || r.listing.isOn(host) {
			continue
		}
		if began.Sub(time.UnixMilli(machine.RegisteredMS)) > patience+r.node.Settings.HeartbeatInterval() {
			agent.MissingFromLists++
		}
	}
}
