package sched

import (
	"cmp"
	"slices"
	"time"
)

// GangRetry follows how a job whose tasks can only start all together looks for room, as
// the paper's Algorithm 2 has it: it claims what shards have, up to what is missing,
// sleeps after it found them empty, and after too many empty looks in a row releases
// all its claims and begins again, before newer ones. It starts nothing until all is
// held.
type GangRetry struct {
	MaxMisses int           // misses in a row that are borne
	Sleep     time.Duration // after each miss
	Released  bool          // it has begun again: it goes before newer ones

	consecutiveMisses int
	sleepUntil        time.Time
}

// The values that DESIGN starts with.
const (
	InitialSleep     = time.Second
	InitialMaxMisses = 3
)

// NewGangRetry makes a gang.
func NewGangRetry() *GangRetry { return &GangRetry{MaxMisses: InitialMaxMisses, Sleep: InitialSleep} }

// Claimed notes that room was claimed.
func (g *GangRetry) Claimed() { g.consecutiveMisses, g.sleepUntil = 0, time.Time{} }

// Missed notes that it looked and found too little while it holds some. It tells
// whether all its claims are to be released. What is seen while it sleeps is no miss.
func (g *GangRetry) Missed(now time.Time) (release bool) {
	if now.Before(g.sleepUntil) {
		return false
	}
	g.consecutiveMisses++
	g.sleepUntil = now.Add(g.Sleep)
	if g.consecutiveMisses <= g.MaxMisses {
		return false
	}
	g.consecutiveMisses, g.Released = 0, true
	return true
}

// GangTask is a task of a gang that needs a machine.
type GangTask struct {
	ZoneAllowed func(zone string) bool // what the job's other tasks leave it; nil: any
	Assigned    func(zone string)      // is told where it went
}

// CountFits counts how many tasks fit into the room of machines that the job may use, at
// most so many.
func CountFits(hosts []*Host, a *TaskRequest, most int) int {
	n := 0
	for _, h := range hosts {
		if !a.Allows(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		for free := h.Free; n < most && free.Fits(a.Need); n++ {
			free = free.Sub(a.Need)
		}
	}
	return n
}

// AssignGang finds machines for tasks that start together: on the own shard first, then on
// peers' shards, so that few records change. Machines that can start a task soon come
// first (the last one decides when all run), then those that already take one (fewer
// machines that the gang can be lost with, and one fetch for all), then the fullest fit,
// which leaves room beside accelerators to those who need them. It takes the room that
// it finds; what it does not find is nil.
func AssignGang(shards [][]*Host, a *TaskRequest, seats []GangTask) []*Host {
	out := make([]*Host, len(seats))
	taken := map[*Host]bool{}
	for i, s := range seats {
		b := *a
		if s.ZoneAllowed != nil {
			b.ZoneAllowed = s.ZoneAllowed
		}
		for _, hosts := range shards {
			if h := soonest(hosts, &b, taken); h != nil {
				out[i] = h
				taken[h] = true
				h.Free = h.Free.Sub(a.Need)
				if s.Assigned != nil {
					s.Assigned(h.Zone)
				}
				break
			}
		}
	}
	return out
}

// Unassign returns the room of seats back.
func Unassign(hosts []*Host, a *TaskRequest) {
	for _, h := range hosts {
		if h != nil {
			h.Free = h.Free.Add(a.Need)
		}
	}
}

// soonest returns the machine of one shard for the next task of a gang.
func soonest(hosts []*Host, a *TaskRequest, taken map[*Host]bool) *Host {
	delay := func(h *Host) float64 {
		d := h.StartDelayS
		if !h.Images[a.Image] && !taken[h] {
			d += a.FetchS
		}
		return d
	}
	var best *Host
	for _, h := range hosts {
		if !h.Free.Fits(a.Need) || !a.Allows(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		if best == nil {
			best = h
			continue
		}
		x, y := delay(h), delay(best)
		if c := cmp.Or(
			cmp.Compare(x, y), -CompareBool(taken[h], taken[best]),
			cmp.Compare(emptyShare(h, a.Need), emptyShare(best, a.Need)), cmp.Compare(h.Name, best.Name),
		); c < 0 {
			best = h
		}
	}
	return best
}

// CompareBool orders false before true.
func CompareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// StartDelay is how long the last of some seats takes to start, by what is known.
func StartDelay(hosts []*Host, a *TaskRequest) float64 {
	d := 0.0
	for _, h := range hosts {
		if h == nil {
			continue
		}
		w := h.StartDelayS
		if !h.Images[a.Image] {
			w += a.FetchS
		}
		d = max(d, w)
	}
	return d
}

// CountUnassigned counts the seats that were not found.
func CountUnassigned(hosts []*Host) int {
	n := 0
	for _, h := range hosts {
		if h == nil {
			n++
		}
	}
	return n
}

// CountShards counts the shards that seats touch.
func CountShards(hosts []*Host) int {
	var shards []string
	for _, h := range hosts {
		if h != nil && !slices.Contains(shards, h.Shard) {
			shards = append(shards, h.Shard)
		}
	}
	return len(shards)
}
