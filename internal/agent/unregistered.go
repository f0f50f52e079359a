package agent

import (
	"maps"
	"slices"

	"violetturn/internal/notify"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// UnregisteredMachines holds the machines that exist but have no record yet. The lock of
// internal/state guards it.
type UnregisteredMachines struct {
	cache    *statecache.Cache
	wake     notify.Signal            // wakes the decision loop
	machines map[string]shard.Machine // by host name
}

func newUnregisteredMachines(cache *statecache.Cache, wake notify.Signal) *UnregisteredMachines {
	return &UnregisteredMachines{cache: cache, wake: wake, machines: map[string]shard.Machine{}}
}

// Add adds a machine without a record, to be registered in a shard of its zone. A machine whose
// record was deleted is terminated and names are never reused, so it is ignored: a heartbeat
// delayed by a network partition or a lagging list must not register it again as a machine that
// counts as expected capacity. Callers add only machines that the cloud lists, which bounds their
// number.
func (u *UnregisteredMachines) Add(host string, machine shard.Machine) {
	if u.cache.Terminated[host] {
		return
	}
	if _, found := u.machines[host]; found {
		return
	}
	u.machines[host] = machine
	u.wake.Notify()
}

// SetRented adds a machine that was just rented, or replaces its entry.
func (u *UnregisteredMachines) SetRented(host string, machine shard.Machine) {
	u.machines[host] = machine
}

// Machine returns the entry of a machine; the zero value if there is none.
func (u *UnregisteredMachines) Machine(host string) shard.Machine { return u.machines[host] }

// Names returns the machines' host names, sorted.
func (u *UnregisteredMachines) Names() []string { return slices.Sorted(maps.Keys(u.machines)) }

// Count returns the number of machines.
func (u *UnregisteredMachines) Count() int { return len(u.machines) }

// Remove removes a machine that was registered or cannot be registered.
func (u *UnregisteredMachines) Remove(host string) { delete(u.machines, host) }
