package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// cloudService is the stand-in for the cloud.
type cloudService struct {
	world    *world
	mu       sync.Mutex
	machines map[string]*machine
	hires    map[string][]string
	rented   int
}

// machine is a rented machine.
type machine struct {
	machineRow
	rentedAt time.Time
	upAt     time.Time
	goneAt   time.Time // zero: not gone
	worker   *worker   // nil until the machine is up
}

// newCloudService returns a cloud without machines.
func newCloudService(w *world) *cloudService {
	return &cloudService{world: w, machines: map[string]*machine{}, hires: map[string][]string{}}
}

// handler returns the cloud's interface.
func (c *cloudService) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, fields{"builds": []build{machineBuild()}})
	})
	mux.HandleFunc("POST /rentals", c.rent)
	mux.HandleFunc("POST /rentals/return", c.takeBack)
	mux.HandleFunc("GET /rentals", c.list)
	return mux
}

func (c *cloudService) rent(w http.ResponseWriter, r *http.Request) {
	var h hire
	if json.NewDecoder(r.Body).Decode(&h) != nil || h.HowMany < 1 || h.HowMany > 50 || h.Build != machineBuild().Label {
		answer(w, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	c.mu.Lock()
	hosts, known := c.hires[h.Hire]
	if !known {
		for range min(h.HowMany, c.world.room(h.Site)-c.count(h.Site)) {
			hosts = append(hosts, c.add(h.Site, h.Loaners))
		}
	}
	if len(hosts) > 0 {
		c.hires[h.Hire] = hosts
	}
	c.mu.Unlock()
	if len(hosts) == 0 {
		answer(w, http.StatusServiceUnavailable, fields{"error": "no capacity"})
		return
	}
	c.world.record.note("cloud", "rental %s: %s in %s", h.Hire, strings.Join(hosts, " "), h.Site)
	answer(w, http.StatusOK, fields{"hosts": hosts})
}

// count returns the number of machines in a zone. The caller holds the lock.
func (c *cloudService) count(site string) int {
	n := 0
	for _, m := range c.machines {
		if m.Site == site && m.goneAt.IsZero() {
			n++
		}
	}
	return n
}

// add rents one machine, which is up after its boot time. The caller holds the lock.
func (c *cloudService) add(site string, loaners bool) string {
	c.rented++
	host := fmt.Sprintf("i-%06d", c.rented)
	addr, listener, err := listenLoopback()
	if err != nil {
		c.world.record.note("cloud", "no port: %v", err)
		return host
	}
	boot := time.Duration(machineBuild().StartupS * float64(time.Second))
	m := &machine{
		machineRow: machineRow{UID: host, Addr: addr, Build: machineBuild().Label, Site: site, Loaners: loaners, Phase: "starting"},
		rentedAt:   time.Now(), upAt: time.Now().Add(boot),
	}
	c.machines[host] = m
	time.AfterFunc(boot, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.goneAt.IsZero() {
			m.worker = newWorker(c.world, m.machineRow, listener)
		}
	})
	return host
}

// remove ends a machine with all that is on it.
func (c *cloudService) remove(host string) {
	c.mu.Lock()
	m := c.machines[host]
	if m != nil && m.goneAt.IsZero() {
		m.goneAt = time.Now()
		if m.worker != nil {
			m.worker.end()
		}
	}
	c.mu.Unlock()
	c.world.record.note("cloud", "%s is gone", host)
}

func (c *cloudService) takeBack(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Hosts) > 100 {
		answer(w, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	for _, host := range body.Hosts {
		c.remove(host)
	}
	answer(w, http.StatusOK, fields{})
}

// list answers with the machines as they were listLag ago.
func (c *cloudService) list(w http.ResponseWriter, r *http.Request) {
	limit, _ := strconv.Atoi(r.FormValue("limit"))
	at := time.Now().Add(-listLag)
	rows := []machineRow{}
	c.mu.Lock()
	for _, m := range c.machines {
		if m.rentedAt.After(at) || !m.goneAt.IsZero() && m.goneAt.Before(at) || m.UID <= r.FormValue("since") {
			continue
		}
		listed := m.machineRow
		listed.HeldS = at.Sub(m.rentedAt).Seconds()
		if m.upAt.Before(at) {
			listed.Phase = "running"
		}
		rows = append(rows, listed)
	}
	c.mu.Unlock()
	slices.SortFunc(rows, func(a, b machineRow) int { return strings.Compare(a.UID, b.UID) })
	truncated := len(rows) > limit
	answer(w, http.StatusOK, fields{"hosts": rows[:min(limit, len(rows))], "truncated": truncated})
}

// workers returns the workers of all machines that are up, by name.
func (c *cloudService) workers() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []*worker
	for _, m := range c.machines {
		if m.worker != nil && m.goneAt.IsZero() {
			all = append(all, m.worker)
		}
	}
	slices.SortFunc(all, func(a, b *worker) int { return strings.Compare(a.UID, b.UID) })
	return all
}
