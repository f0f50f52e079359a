package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// machineType is the only machine type that the cloud rents.
type machineType struct {
	label             string
	cpus, gpus, memGB float64
	price, spotPrice  float64
	startupS          float64       // as published
	boots             time.Duration // as it is
}

// pool is what the cloud has of one zone and kind.
type pool struct {
	zone string
	spot bool
}

// cloudService is the stand-in of the cloud.
type cloudService struct {
	record *recorder
	kind   machineType
	zones  []string
	lag    time.Duration
	boot   func(w *worker) // starts the worker of a rented machine

	mu       sync.Mutex
	capacity map[pool]int // machines left; no entry: unlimited
	machines []*worker    // all that were ever rented, in the order of creation
	rentals  map[string][]string
}

// newCloudService returns a cloud without machines.
func newCloudService(kind machineType, zones []string, lag time.Duration, record *recorder) *cloudService {
	return &cloudService{
		record: record, kind: kind, zones: zones, lag: lag, capacity: map[pool]int{}, rentals: map[string][]string{},
	}
}

// limit sets how many machines the cloud has, by zone and kind.
func (c *cloudService) limit(capacity map[pool]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = capacity
}

// handlerFor returns the handler of one controller's requests.
func (c *cloudService) handlerFor(controller string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /flavors", c.flavors)
	mux.HandleFunc("POST /rentals", func(w http.ResponseWriter, r *http.Request) { c.rent(w, r, controller) })
	mux.HandleFunc("POST /rentals/return", c.giveBack)
	mux.HandleFunc("GET /rentals", c.list)
	return mux
}

func (c *cloudService) flavors(w http.ResponseWriter, _ *http.Request) {
	k := c.kind
	reply(w, http.StatusOK, map[string]any{"builds": []map[string]any{{
		"label": k.label, "cpus": k.cpus, "gpus": k.gpus, "memGb": k.memGB, "localGb": 90.0, "pullGbPerS": 2.0,
		"price": k.price, "marketPrice": k.spotPrice, "startupS": k.startupS, "sites": c.zones,
	}}})
}

// rental is the body of a rental request.
type rental struct {
	Hire    string `json:"hire"`
	Build   string `json:"build"`
	Site    string `json:"site"`
	Loaners bool   `json:"loaners"`
	HowMany int    `json:"howMany"`
}

func (c *cloudService) rent(w http.ResponseWriter, r *http.Request, controller string) {
	var request rental
	if json.NewDecoder(r.Body).Decode(&request) != nil || request.Hire == "" || request.Build != c.kind.label || request.HowMany < 1 ||
		request.HowMany > 50 || !slices.Contains(c.zones, request.Site) {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	hosts, repeated := c.rentals[request.Hire]
	if !repeated {
		hosts = c.hire(request, controller)
	}
	if len(hosts) == 0 {
		c.record.note("cloud: no capacity for %s in %s, spot %t", controller, request.Site, request.Loaners)
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "no capacity"})
		return
	}
	c.rentals[request.Hire] = hosts
	reply(w, http.StatusOK, map[string]any{"hosts": hosts})
}

// hire rents as many machines as there are. The caller holds mu.
func (c *cloudService) hire(request rental, controller string) []string {
	var hosts []string
	from := pool{request.Site, request.Loaners}
	for range request.HowMany {
		left, limited := c.capacity[from]
		if limited && left == 0 {
			break
		}
		if limited {
			c.capacity[from] = left - 1
		}
		m := &worker{host: fmt.Sprintf("i-%06d", len(c.machines)), zone: request.Site, spot: request.Loaners, rentedAt: time.Now()}
		m.bootedAt = m.rentedAt.Add(c.kind.boots)
		c.machines = append(c.machines, m)
		hosts = append(hosts, m.host)
		m.rentedBy = controller
		c.record.note("cloud: %s rents %s in %s, spot %t", controller, m.host, m.zone, m.spot)
		c.boot(m)
	}
	return hosts
}

func (c *cloudService) giveBack(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hosts []string `json:"hosts"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Hosts) > 100 {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	for _, m := range c.running() {
		if slices.Contains(body.Hosts, m.host) {
			c.record.note("cloud: %s returned", m.host)
			c.end(m, true)
		}
	}
	reply(w, http.StatusOK, map[string]any{})
}

// end ends a machine. Its place is rented again only if the controllers returned it: a spot machine
// that the cloud takes back is given to somebody else.
func (c *cloudService) end(m *worker, returned bool) {
	m.kill()
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.endedAt.IsZero() {
		m.endedAt = time.Now()
		if _, limited := c.capacity[pool{m.zone, m.spot}]; limited && returned {
			c.capacity[pool{m.zone, m.spot}]++
		}
	}
}

// rentedSince returns how many machines a controller has rented since a moment.
func (c *cloudService) rentedSince(controller string, since time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	rented := 0
	for _, m := range c.machines {
		if m.rentedBy == controller && m.rentedAt.After(since) {
			rented++
		}
	}
	return rented
}

// running returns the machines that have not ended.
func (c *cloudService) running() []*worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var machines []*worker
	for _, m := range c.machines {
		if m.endedAt.IsZero() {
			machines = append(machines, m)
		}
	}
	return machines
}

// list answers with the machines as they were one lag ago.
func (c *cloudService) list(w http.ResponseWriter, r *http.Request) {
	limit := 500
	if n, err := strconv.Atoi(r.FormValue("limit")); err == nil {
		limit = min(limit, n)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	at := time.Now().Add(-c.lag)
	rows, truncated := []map[string]any{}, false
	for _, m := range c.machines {
		if m.host <= r.FormValue("since") || m.rentedAt.After(at) || !m.endedAt.IsZero() && m.endedAt.Before(at) {
			continue
		}
		if len(rows) == limit {
			truncated = true
			break
		}
		phase := "running"
		if m.bootedAt.After(at) {
			phase = "starting"
		}
		rows = append(rows, map[string]any{
			"uid": m.host, "addr": m.addr, "build": c.kind.label, "site": m.zone, "loaners": m.spot, "phase": phase,
			"heldS": at.Sub(m.rentedAt).Seconds(),
		})
	}
	reply(w, http.StatusOK, map[string]any{"hosts": rows, "truncated": truncated})
}
