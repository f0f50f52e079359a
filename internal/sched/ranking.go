package sched

import "container/heap"

// candidates is a heap of machines with the best fit on top.
type candidates []candidate

func (c candidates) Len() int           { return len(c) }
func (c candidates) Less(i, j int) bool { return c[i].before(c[j]) }
func (c candidates) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *candidates) Push(value any) {
	*c = append(*c, value.(candidate)) //nolint:errcheck // Ranking passes only candidates to heap.Push
}

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := len(*c) - 1
	removed := (*c)[last]
	*c = (*c)[:last]
	return removed
}

// Ranking selects machines for the tasks of one job, which all have the same requirements, one after
// another. It evaluates each machine once instead of once per task: a machine that gets a task
// becomes fuller, and so stays the best until it is full.
//
// While a Ranking is in use, only its own tasks may reduce the machines' free capacity.
type Ranking struct {
	request *TaskRequest
	zones   []zoneCandidates // by zone, because the allowed zones differ from task to task
}

// zoneCandidates holds the machines of one zone.
type zoneCandidates struct {
	zone string
	candidates
}

// NewRanking returns a ranking of machines. It reuses the memory of r, an earlier ranking that must
// not be used any more; r may be nil.
func NewRanking(r *Ranking, hosts []*Host, request *TaskRequest) *Ranking {
	if r == nil {
		r = &Ranking{}
	}
	r.request = request
	for i := range r.zones {
		r.zones[i].candidates = r.zones[i].candidates[:0]
	}
	for _, h := range hosts {
		if key, ok := fitKeyOf(h, request); ok {
			inZone := r.zoneCandidatesOf(h.Zone)
			inZone.candidates = append(inZone.candidates, candidate{key, h})
		}
	}
	for i := range r.zones {
		heap.Init(&r.zones[i].candidates)
	}
	return r
}

func (r *Ranking) zoneCandidatesOf(zone string) *zoneCandidates {
	for i := range r.zones {
		if r.zones[i].zone == zone {
			return &r.zones[i]
		}
	}
	r.zones = append(r.zones, zoneCandidates{zone: zone})
	return &r.zones[len(r.zones)-1]
}

// Add adds a machine to the ranking if it fits.
func (r *Ranking) Add(h *Host) {
	if key, ok := fitKeyOf(h, r.request); ok {
		heap.Push(&r.zoneCandidatesOf(h.Zone).candidates, candidate{key, h})
	}
}

// Best returns the machine for the next task, or nil if none fits. A caller that assigns the task to
// it must subtract the task's need from its free capacity before the next call. zoneAllowed reports
// which zones the task may use; nil allows all.
func (r *Ranking) Best(zoneAllowed func(zone string) bool) *Host {
	var best candidate
	for i := range r.zones {
		z := &r.zones[i]
		for len(z.candidates) > 0 && !z.candidates[0].host.Free.Fits(r.request.Need) {
			heap.Pop(&z.candidates)
		}
		if len(z.candidates) == 0 || zoneAllowed != nil && !zoneAllowed(z.zone) {
			continue
		}
		if current := z.candidates[0]; best.host == nil || current.before(best) {
			best = current
		}
	}
	return best.host
}
