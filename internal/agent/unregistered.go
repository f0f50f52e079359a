package agent

import (
	"maps"
	"slices"

	"violetturn/internal/notify"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
)

// UnregisteredMachines are the machines that are known to be there and have no record yet. The
// lock of internal/state guards them.
type UnregisteredMachines struct {
	cache    *statecache.Cache
	wake     notify.Signal
	machines map[string]shard.Machine // by name
}

func newUnregisteredMachines(cache *statecache.Cache, wake notify.Signal) *UnregisteredMachines {
	return &UnregisteredMachines{cache: cache, wake: wake, machines: map[string]shard.Machine{}}
}

// Add notes a machine that has no record, to be registered in a shard of its
// zone. One whose record was dropped is terminated, and names are never used again:
// a heartbeat that a network partition held back, or a list that lags, must not bring it back
// as a machine that counts as coming room. Only machines that the cloud lists come here, which
// bounds how many there are.
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

// SetRented notes a machine that was just rented, in place of what is known of it.
func (u *UnregisteredMachines) SetRented(host string, machine shard.Machine) {
	u.machines[host] = machine
}

// Machine returns what is known of a machine; the zero value if it is not among them.
func (u *UnregisteredMachines) Machine(host string) shard.Machine { return u.machines[host] }

// Names returns the machines' names in order.
func (u *UnregisteredMachines) Names() []string { return slices.Sorted(maps.Keys(u.machines)) }

// Count returns how many they are.
func (u *UnregisteredMachines) Count() int { return len(u.machines) }

// Remove removes a machine: it is registered, or can't be.
func (u *UnregisteredMachines) Remove(host string) { delete(u.machines, host) }
