package sched

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
)

// fitKey orders the machines that fit a task, the best first: the lower, the better.
type fitKey uint64

// The bits of a fitKey, above them how empty the machine would be left, in steps of eps.
const (
	ordinaryBit fitKey = 1 << iota
	coldBit
	mixedBit
	leftShift = iota

	// coldFirstBit is above all others: of a task whose aim a cold start would miss.
	coldFirstBit fitKey = 1 << 62
)

// fitKeyOf returns how well a machine fits a task: the fullest first; among equals one
// without tasks of the other shape, then one that has the image, then a spot one, so
// that ordinary machines stay for those that need them. Only a task whose aim a cold
// start would miss looks for its image before fullness. ok is false if the machine has
// no room, lacks an image that it must have, or is not allowed, zones that the job's
// other tasks leave aside.
func fitKeyOf(h *Host, a *TaskRequest) (key fitKey, ok bool) {
	if !h.Free.Fits(a.Need) || !a.allowsKind(h.MachineType, h.Zone, h.Spot) {
		return 0, false
	}
	return tieBreak(emptiness(h, a), h, a)
}

// emptiness is the part of a fitKey that tells how empty the machine would be left.
func emptiness(h *Host, a *TaskRequest) fitKey {
	return fitKey(math.Round(max(emptyShare(h, a.Need), 0)/eps)) << leftShift
}

// tieBreak completes the key of a machine with room from its emptiness. ok is false if it
// lacks an image that it must have.
func tieBreak(key fitKey, h *Host, a *TaskRequest) (complete fitKey, ok bool) {
	warm := len(h.Images) > 0 && h.Images[a.Image]
	if a.RequireImage && !warm {
		return 0, false
	}
	if otherKindTasks(h, a) > 0 {
		key |= mixedBit
	}
	if !warm {
		key |= coldBit
		if a.PreferImage {
			key |= coldFirstBit
		}
	}
	if !h.Spot {
		key |= ordinaryBit
	}
	return key, true
}

// FullestFit returns the machine that fits the task best by fitKeyOf.
func FullestFit(hosts []*Host, a *TaskRequest) *Host {
	var best candidate
	for _, h := range hosts {
		if !h.Free.Fits(a.Need) || !a.allowsKind(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		key := emptiness(h, a)
		// One that would be left emptier than the best so far is worse whatever else it
		// has; looking its image up is the dearest step.
		if best.host != nil && !a.PreferImage && key > best.key {
			continue
		}
		key, ok := tieBreak(key, h, a)
		if !ok || a.ZoneAllowed != nil && !a.ZoneAllowed(h.Zone) {
			continue
		}
		if x := (candidate{key, h}); best.host == nil || x.before(best) {
			best = x
		}
	}
	return best.host
}

// candidate is a machine that fits a task.
type candidate struct {
	key  fitKey
	host *Host
}

func (x candidate) before(y candidate) bool {
	return x.key < y.key || x.key == y.key && x.host.Name < y.host.Name
}

// candidates is a heap of machines, the best on top.
type candidates []candidate

func (c candidates) Len() int           { return len(c) }
func (c candidates) Less(i, j int) bool { return c[i].before(c[j]) }
func (c candidates) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }

// Push implements heap.Interface.
func (c *candidates) Push(x any) { *c = append(*c, x.(candidate)) }

// Pop implements heap.Interface.
func (c *candidates) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// Ranking finds machines for the tasks of one job, which all ask for the same, one after
// the other. It looks over the machines once, not once for each task: whoever takes room
// on the best machine leaves it fuller, so that it stays the best until it is full.
//
// The room of the machines may change only by what the ranking's own tasks take.
type Ranking struct {
	request *TaskRequest
	zones   []zoneCandidates // by zone, for ZoneOK differs from task to task
}

// zoneCandidates are the machines of one zone.
type zoneCandidates struct {
	zone string
	candidates
}

// Rank makes a ranking of machines. It uses the memory of an earlier ranking, which is
// void from then on; nil will do.
func Rank(r *Ranking, hosts []*Host, a *TaskRequest) *Ranking {
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

// Best returns the machine for the next task, nil if none fits. Who takes it takes the
// task's room from it before asking again.
func (r *Ranking) Best(zoneOK func(zone string) bool) *Host {
	var best candidate
	for i := range r.zones {
		s := &r.zones[i]
		for len(s.candidates) > 0 && !s.candidates[0].host.Free.Fits(r.request.Need) {
			heap.Pop(&s.candidates)
		}
		if len(s.candidates) == 0 || zoneOK != nil && !zoneOK(s.zone) {
			continue
		}
		if x := s.candidates[0]; best.host == nil || x.before(best) {
			best = x
		}
	}
	return best.host
}

// Chooser finds machines for the tasks of one job after the other, in shards: in the
// job's own shard first and then in the peers' shards in random order, as the design has
// it. It returns the fullest fit of the first shard that has room.
type Chooser struct {
	shards   map[string][]*Host
	rnd      *rand.Rand
	names    []string
	request  *TaskRequest
	order    []string   // the shards, as this job asks them
	rankings []*Ranking // of the first of them, made when they are asked
	reusable []*Ranking // of earlier jobs
}

// NewChooser makes a chooser among machines by shard.
func NewChooser(shards map[string][]*Host, rnd *rand.Rand) *Chooser {
	c := &Chooser{shards: shards, rnd: rnd}
	for name := range shards {
		c.names = append(c.names, name)
	}
	slices.Sort(c.names)
	return c
}

// Begin turns to the tasks of another job of the given part.
func (c *Chooser) Begin(own string, a *TaskRequest) {
	c.request = a
	c.reusable = append(c.reusable, c.rankings...)
	c.rankings = c.rankings[:0]
	c.order = append(c.order[:0], own)
	for _, name := range c.names {
		if name != own {
			c.order = append(c.order, name)
		}
	}
	peers := c.order[1:]
	c.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// Next returns the machine for the job's next task, nil if there is none.
func (c *Chooser) Next(zoneOK func(zone string) bool) *Host {
	for i, name := range c.order {
		if i == len(c.rankings) {
			var old *Ranking
			if last := len(c.reusable) - 1; last >= 0 {
				old, c.reusable = c.reusable[last], c.reusable[:last]
			}
			c.rankings = append(c.rankings, Rank(old, c.shards[name], c.request))
		}
		if h := c.rankings[i].Best(zoneOK); h != nil {
			return h
		}
	}
	return nil
}
