package simulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"violetturn/internal/cloud"
)

// Cloud is the simulated cloud that rents machines.
type Cloud struct {
	ServiceFaults
	NoCapacity    bool // rentals are refused
	WorkersByHost map[string]*Worker
	PagesRead     int // pages of the list of machines read so far

	env               *Environment
	sortedWorkers     []*Worker           // workers in the order of their machines' names; nil: not computed
	terminated        []*Worker           // terminated machines, which the list may still contain because of ListLag
	rentals           map[string][]string // machine names by the name of their rental request, so that a repeated request rents nothing
	nextMachineNumber int
	rentalCopies      copies[cloud.RentalRequest] // copies of requests that arrived, until DeliverRentalCopies is called

	cachedList   []cloud.Machine // list of machines, computed at cachedListAt; nil: not computed
	cachedListAt time.Time
}

// newCloud returns a cloud without machines.
func newCloud(env *Environment) *Cloud {
	return &Cloud{ServiceFaults: newServiceFaults(), WorkersByHost: map[string]*Worker{}, env: env, rentals: map[string][]string{}}
}

// Workers returns the workers of all rented machines, in the order of the machines' names.
func (c *Cloud) Workers() []*Worker {
	if c.sortedWorkers == nil {
		c.sortedWorkers = slices.SortedFunc(maps.Values(c.WorkersByHost), func(a, b *Worker) int { return strings.Compare(a.Host, b.Host) })
	}
	return c.sortedWorkers
}

// HostNames returns the sorted names of all rented machines.
func (c *Cloud) HostNames() []string {
	names := make([]string, 0, len(c.WorkersByHost))
	for _, worker := range c.Workers() {
		names = append(names, worker.Host)
	}
	return names
}

// rent rents the machines of a new request and returns their names.
func (c *Cloud) rent(r cloud.RentalRequest) []string {
	var hosts []string
	for range r.Count {
		name := fmt.Sprintf("i-%06d", c.nextMachineNumber)
		c.nextMachineNumber++
		c.WorkersByHost[name] = newWorker(c.env, Machine{
			Host:        name,
			Addr:        "10.1.0.1:" + name,
			MachineType: r.MachineType,
			Zone:        r.Zone,
			Spot:        r.Spot,
		})
		hosts = append(hosts, name)
	}
	c.rentals[r.Name] = hosts
	c.sortedWorkers, c.cachedList = nil, nil
	return hosts
}

// Terminate terminates a machine without notice, as the cloud does with spot machines.
func (c *Cloud) Terminate(host string) {
	if worker := c.WorkersByHost[host]; worker != nil {
		worker.terminatedAt = c.env.Now
		c.terminated = append(c.terminated, worker)
		delete(c.WorkersByHost, host)
		c.sortedWorkers, c.cachedList = nil, nil
	}
}

// page returns at most limit machines whose names sort after since, from the list as it was ListLag
// ago, and whether that list contains more.
func (c *Cloud) page(since string, limit int) (machines []cloud.Machine, truncated bool) {
	list := c.list()
	start, found := slices.BinarySearchFunc(list, since, func(m cloud.Machine, name string) int { return strings.Compare(m.UID, name) })
	if found {
		start++
	}
	machines = append([]cloud.Machine{}, list[start:min(len(list), start+limit)]...)
	return machines, start+len(machines) < len(list)
}

// list returns the machines that existed ListLag ago, in the order of their names.
func (c *Cloud) list() []cloud.Machine {
	if c.cachedList != nil && c.cachedListAt.Equal(c.env.Now) {
		return c.cachedList
	}
	listTime := c.env.Now.Add(-c.env.ListLag)
	var list []cloud.Machine
	for _, worker := range c.WorkersByHost {
		if worker.existedAt(listTime) {
			list = append(list, worker.listEntryAt(listTime))
		}
	}
	for _, worker := range c.terminated {
		if worker.existedAt(listTime) {
			list = append(list, worker.listEntryAt(listTime))
		}
	}
	slices.SortFunc(list, func(a, b cloud.Machine) int { return strings.Compare(a.UID, b.UID) })
	c.cachedList, c.cachedListAt = list, c.env.Now
	return list
}

// existedAt reports whether the machine had been rented and not yet terminated at a time.
func (w *Worker) existedAt(t time.Time) bool {
	return !w.rentedAt.After(t) && (w.terminatedAt.IsZero() || w.terminatedAt.After(t))
}

// listEntryAt returns the machine's entry in the cloud's list for a time at which it existed.
func (w *Worker) listEntryAt(t time.Time) cloud.Machine {
	phase := cloud.MachineRunning
	if w.bootedAt.After(t) {
		phase = cloud.MachineStarting
	}
	return cloud.Machine{
		UID:         w.Host,
		Addr:        w.Addr,
		MachineType: w.MachineType,
		Zone:        w.Zone,
		Spot:        w.Spot,
		Phase:       phase,
		AgeS:        t.Sub(w.rentedAt).Seconds(),
	}
}

// maxRentalCopies is the number of copies of rental requests that the cloud keeps.
const maxRentalCopies = 16

// DeliverRentalCopies carries out copies of the rental requests that arrived, and forgets them. A copy of
// a request that was carried out rents nothing; one of a refused request may rent machines.
func (c *Cloud) DeliverRentalCopies() {
	c.rentalCopies.deliver(func(r cloud.RentalRequest) {
		if _, rented := c.rentals[r.Name]; !rented && !c.NoCapacity {
			c.rent(r)
		}
	})
}
