package sched

import "container/heap"

// candidates is a heap of machines, the best on top.
type candidates []candidate

func (c candidates) Len() int           { return len(c) }
func (c candidates) Less(i, j int) bool { return c[i].before(c[j]) }
func (c candidates) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) {
	*c = append(*c, x.(candidate)) //nolint:errcheck // container/heap pushes what Ranking gives it: candidates
}

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// Ranking finds machines for the tasks of one job, which all ask for the same, one after
// the other. It looks over the machines once, not once for each task: a task that is assigned
// to the best machine leaves it fuller, so that it stays the best until it is full.
//
// The room of the machines may change only by what the ranking's own tasks take.
type Ranking struct {
	request *TaskRequest
	zones   []zoneCandidates // by zone, for the zones that are allowed differ from task to task
}

// zoneCandidates are the machines of one zone.
type zoneCandidates struct {
	zone string
	candidates
}

// NewRanking returns a ranking of machines. It reuses the memory of r, an earlier ranking that is
// invalid from then on; nil will do.
func NewRanking(r *Ranking, hosts []*Host, a *TaskRequest) *Ranking {
	if r == nil {
		r = &Ranking{}
	}
	r.request = a
	for i := range r.zones {
		r.zones[i].candidates = r.zones[i].candidates[:0]
	}
	for _, h := range hosts {
		if key, ok := fitKeyOf(h, a); ok {
			at := r.zoneCandidatesOf(h.Zone)
			at.candidates = append(at.candidates, candidate{key, h})
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

// Add adds a machine.
func (r *Ranking) Add(h *Host) {
	if key, ok := fitKeyOf(h, r.request); ok {
		heap.Push(&r.zoneCandidatesOf(h.Zone).candidates, candidate{key, h})
	}
}

// Best returns the machine for the next task, nil if none fits. A caller that assigns the task
// to it subtracts the task's need from its room before it asks again. zoneAllowed tells which
// zones will do; nil allows all.
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
		if x := z.candidates[0]; best.host == nil || x.before(best) {
			best = x
		}
	}
	return best.host
}
