package simulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"violetturn/internal/cloud"
)

// Cloud rents machines.
type Cloud struct {
	ServiceFaults
	NoCapacity    bool // it refuses rentals
	WorkersByHost map[string]*Worker
	PagesRead     int // of the list that were read so far

	w           *Environment
	order       []*Worker           // Hosts in the order of their names; nil: to be sorted anew
	terminated  []*Worker           // that the list may still show
	rentals     map[string][]string // machines by the name of the request, so that a repeated one rents nothing
	nextMachine int

	listed   []cloud.Machine // the list as of listedAt, of which pages are read
	listedAt time.Time
}

// newCloud returns a cloud without machines.
func newCloud(w *Environment) *Cloud {
	return &Cloud{ServiceFaults: newServiceFaults(), WorkersByHost: map[string]*Worker{}, w: w, rentals: map[string][]string{}}
}

// Workers returns the machines there are, in the order of their names.
func (c *Cloud) Workers() []*Worker {
	if c.order == nil {
		c.order = slices.SortedFunc(maps.Values(c.WorkersByHost), func(a, b *Worker) int { return strings.Compare(a.Host, b.Host) })
	}
	return c.order
}

// HostNames returns the names of the machines there are, in order.
func (c *Cloud) HostNames() []string {
	out := make([]string, 0, len(c.WorkersByHost))
	for _, x := range c.Workers() {
		out = append(out, x.Host)
	}
	return out
}

// rent makes the machines of a request that has not been carried out before.
func (c *Cloud) rent(r cloud.RentalRequest) []string {
	var out []string
	for range r.Count {
		name := fmt.Sprintf("i-%06d", c.nextMachine)
		c.nextMachine++
		c.WorkersByHost[name] = newWorker(c.w, Machine{
			Host:        name,
			Addr:        "10.1.0.1:" + name,
			MachineType: r.MachineType,
			Zone:        r.Zone,
			Spot:        r.Spot,
		})
		out = append(out, name)
	}
	c.rentals[r.Name] = out
	c.order, c.listed = nil, nil
	return out
}

// Terminate ends a machine without notice, as the cloud does with a spot one.
func (c *Cloud) Terminate(host string) {
	if x := c.WorkersByHost[host]; x != nil {
		x.terminatedAt = c.w.Now
		c.terminated = append(c.terminated, x)
		delete(c.WorkersByHost, host)
		c.order, c.listed = nil, nil
	}
}

// page returns the machines as they were listed some time ago whose names come after since,
// at most limit of them, and whether there are more.
func (c *Cloud) page(since string, limit int) (hosts []cloud.Machine, truncated bool) {
	all := c.list()
	from, found := slices.BinarySearchFunc(all, since, func(h cloud.Machine, name string) int { return strings.Compare(h.UID, name) })
	if found {
		from++
	}
	hosts = append([]cloud.Machine{}, all[from:min(len(all), from+limit)]...)
	return hosts, from+len(hosts) < len(all)
}

// list returns the machines there were ListLag ago, in the order of their names.
func (c *Cloud) list() []cloud.Machine {
	if c.listed != nil && c.listedAt.Equal(c.w.Now) {
		return c.listed
	}
	then := c.w.Now.Add(-c.w.ListLag)
	var out []cloud.Machine
	for _, x := range c.WorkersByHost {
		if x.existedAt(then) {
			out = append(out, x.listedAt(then))
		}
	}
	for _, x := range c.terminated {
		if x.existedAt(then) {
			out = append(out, x.listedAt(then))
		}
	}
	slices.SortFunc(out, func(a, b cloud.Machine) int { return strings.Compare(a.UID, b.UID) })
	c.listed, c.listedAt = out, c.w.Now
	return out
}

// existedAt reports whether the machine was rented at a time.
func (x *Worker) existedAt(at time.Time) bool {
	return !x.rentedAt.After(at) && (x.terminatedAt.IsZero() || x.terminatedAt.After(at))
}

// listedAt returns the machine as the cloud lists it for a time at which it existed.
func (x *Worker) listedAt(at time.Time) cloud.Machine {
	phase := cloud.MachineRunning
	if x.upAt.After(at) {
		phase = cloud.MachineStarting
	}
	return cloud.Machine{
		UID:         x.Host,
		Addr:        x.Addr,
		MachineType: x.MachineType,
		Zone:        x.Zone,
		Spot:        x.Spot,
		Phase:       phase,
		AgeS:        at.Sub(x.rentedAt).Seconds(),
	}
}
