// Package zonehealth judges whether a zone is up, down or coming back. It is a pure state
// machine over one record of the state service that all controllers share: what the leaders
// of shards see of the zone's machines, and the state that follows. A change is committed by
// conditional write on the record, so that of several controllers one wins and a late one
// is refused; Number rises with each change of what work may be placed in the zone.
//
// Invariants:
//   - a zone goes down only with a witness: the controller that says so hears machines of
//     another zone, so that one that is itself cut off never does;
//   - neither Down nor Recovering outlasts Limits.Longest while controllers can write;
//   - Number never falls, and Start is halved by a failure soon after another.
package zonehealth

import (
	"slices"
	"time"
)

// State is what a zone is taken for.
type State string

// The states of a zone. Nothing but Down and Recovering restricts what may be placed.
const (
	Healthy    State = "healthy"
	Suspect    State = "suspect"    // some machines are lost, perhaps for another reason
	Down       State = "down"       // most are lost, and other zones' are not
	Recovering State = "recovering" // machines come back
)

// Demand is production work that waits for lost machines of the zone: so many tasks of one
// size.
type Demand struct {
	Need  [3]float64 `json:"r"` // processors, accelerators, memory
	Spot  bool       `json:"l,omitempty"`
	Tasks int        `json:"n"`
}

// Observation is what the leader of a shard sees of its machines in the zone.
type Observation struct {
	Up      int      `json:"u"`
	Lost    int      `json:"x"`
	Unclear int      `json:"c,omitempty"` // not heard of yet by a new owner
	Refused bool     `json:"f,omitempty"` // the cloud rents nothing there
	Waiting []Demand `json:"w,omitempty"`
}

// Equal reports whether two observations say the same.
func (s Observation) Equal(o Observation) bool {
	return s.Up == o.Up && s.Lost == o.Lost && s.Unclear == o.Unclear && s.Refused == o.Refused && slices.Equal(s.Waiting, o.Waiting)
}

// LostShare is the share of the machines that are lost.
func (s Observation) LostShare() float64 {
	if s.Lost == 0 {
		return 0
	}
	return float64(s.Lost) / float64(s.Up+s.Lost)
}

// Empty reports whether the shard has no machines in the zone that say anything.
func (s Observation) Empty() bool { return s.Up+s.Lost+s.Unclear == 0 && len(s.Waiting) == 0 }

// Record is a zone's record. The zero record is that of a healthy zone that nobody has
// seen anything of.
type Record struct {
	State          State                  `json:"s"`
	Transitions    uint64                 `json:"n"`           // rises whenever the zone goes down or comes back
	SinceMS        int64                  `json:"at"`          // time of day when the state began
	FailedMS       int64                  `json:"f,omitempty"` // when it went down last
	SlowStartShare float64                `json:"w,omitempty"` // share of the zone that lower work may take at first
	MachinesBefore int                    `json:"b,omitempty"` // machines there were when it went down
	Watermark      int                    `json:"m,omitempty"` // while down the fewest, while recovering the most that were up
	Observations   map[string]Observation `json:"p,omitempty"` // by part
}

// Limits are the bounds between the states.
type Limits struct {
	SuspectShare, DownShare float64
	Confirm                 time.Duration // most are lost for so long before the zone is down
	FirstShare, LeastShare  float64       // of a slow start
	DoubleEvery             time.Duration // its share doubles so often
	Longest                 time.Duration // that Down and Recovering last
}

// minMachines is how many machines a zone must have to be judged: one or two are as likely
// lost by themselves.
const minMachines = 3

// fastStartFactor is by how much sooner the share of a slow start doubles while nearly all machines are
// back and no production work waits for the others.
const fastStartFactor = 4

// returnShare is the share of the machines there were before that have to be back for a
// zone to be recovering.
const returnShare = 1. / 16

// Sum returns the machines that are up, lost and unclear, over all shards.
func (r *Record) Sum() Observation {
	var sum Observation
	for _, s := range r.Observations {
		sum.Up += s.Up
		sum.Lost += s.Lost
		sum.Unclear += s.Unclear
	}
	return sum
}

// Refused reports whether the cloud refuses machines there to any owner of a shard.
func (r *Record) Refused() bool {
	for _, s := range r.Observations {
		if s.Refused {
			return true
		}
	}
	return false
}

// Waiting reports whether production work waits for lost machines.
func (r *Record) Waiting() bool {
	for _, s := range r.Observations {
		if len(s.Waiting) > 0 {
			return true
		}
	}
	return false
}

// Restricts reports whether the state restricts what may be placed in the zone.
func (r *Record) Restricts() bool { return r.State == Down || r.State == Recovering }

// WithObservation returns the record with what the leader of a shard sees now. The record stays as it is.
func (r *Record) WithObservation(shard string, observation Observation) Record {
	next := *r
	next.Observations = make(map[string]Observation, len(r.Observations)+1)
	for p, s := range r.Observations {
		next.Observations[p] = s
	}
	if observation.Empty() {
		delete(next.Observations, shard)
	} else {
		next.Observations[shard] = observation
	}
	return next
}

// Judge returns the record as it is to be now, by what its observations say. witness tells whether
// whoever judges hears machines of another zone.
func (r *Record) Judge(now time.Time, hasObserver bool, limits *Limits) Record {
	next := *r
	sum := r.Sum()
	lasted := now.Sub(time.UnixMilli(r.SinceMS))
	j := transition{next: &next, sum: sum, lasted: lasted, now: now, hasObserver: hasObserver, limits: limits}
	if sum.Unclear > 0 && 2*sum.Unclear >= sum.Up+sum.Lost+sum.Unclear && lasted < limits.Longest && !j.machinesReturned() {
		// A shard has just changed hands: what its new leader has not heard of yet is
		// neither lost nor back. What it has heard of is.
		return next
	}
	switch r.State {
	default:
		if sum.Up+sum.Lost >= minMachines && sum.LostShare() >= limits.SuspectShare {
			next.enter(Suspect, now)
		}
	case Suspect:
		j.suspect()
	case Down:
		j.down()
	case Recovering:
		j.recovering()
	}
	return next
}

// transition is what a change of state rests on.
type transition struct {
	next        *Record
	sum         Observation
	lasted      time.Duration
	now         time.Time
	hasObserver bool
	limits      *Limits
}

func (j *transition) suspect() {
	confirm := j.limits.Confirm
	if j.next.Refused() {
		confirm /= 2 // the cloud says the same
	}
	share := j.sum.LostShare()
	over := share < j.limits.SuspectShare/2 || share < j.limits.DownShare && j.lasted >= j.limits.Longest
	switch {
	case over:
		j.next.enter(Healthy, j.now)
	case share >= j.limits.DownShare && j.lasted >= confirm && j.hasObserver:
		j.next.goDown(j.sum, j.now, j.limits)
	}
}

// machinesReturned reports whether machines of a zone that is down are back.
func (j *transition) machinesReturned() bool {
	back := j.sum.Up - min(j.next.Watermark, j.sum.Up)
	return j.next.State == Down && back >= max(1, int(returnShare*float64(j.next.MachinesBefore)))
}

func (j *transition) down() {
	j.next.Watermark = min(j.next.Watermark, j.sum.Up)
	if j.machinesReturned() || j.sum.Lost == 0 || j.lasted >= j.limits.Longest {
		j.next.enter(Recovering, j.now)
		j.next.Transitions++
		j.next.Watermark = j.sum.Up
	}
}

func (j *transition) recovering() {
	j.next.Watermark = max(j.next.Watermark, j.sum.Up)
	fell := float64(j.sum.Up) <= float64(j.next.Watermark)*(1-j.limits.DownShare)
	if fell && j.next.Watermark > 0 && j.sum.Lost > 0 && j.hasObserver {
		j.next.goDown(j.sum, j.now, j.limits) // again, in the middle of the recovery
		return
	}
	if j.lasted >= j.limits.Longest || j.next.productionServed(j.limits) && j.next.AdmissionShare(j.now, j.limits) >= 1 {
		j.next.enter(Healthy, j.now)
	}
}

// enter has the state change. Of a healthy zone nothing is kept but how it last failed.
func (r *Record) enter(state State, now time.Time) {
	r.State, r.SinceMS = state, now.UnixMilli()
	if state == Healthy {
		r.Observations, r.MachinesBefore, r.Watermark = nil, 0, 0
	}
}

// goDown has the zone go down. A failure soon after another halves the slow start.
func (r *Record) goDown(sum Observation, now time.Time, limits *Limits) {
	again := r.FailedMS > 0 && now.Sub(time.UnixMilli(r.FailedMS)) < 2*limits.Longest
	if again && r.SlowStartShare > 0 {
		r.SlowStartShare = max(limits.LeastShare, r.SlowStartShare/2)
	} else {
		r.SlowStartShare = limits.FirstShare
	}
	r.MachinesBefore = max(sum.Up+sum.Lost, 1)
	r.Watermark = sum.Up
	r.FailedMS = now.UnixMilli()
	r.Transitions++
	r.enter(Down, now)
}

// productionServed reports whether nearly all machines are back and no production work waits for others.
func (r *Record) productionServed(limits *Limits) bool {
	sum := r.Sum()
	away := float64(sum.Lost + sum.Unclear)
	return !r.Waiting() && away <= limits.SuspectShare*float64(sum.Up+sum.Lost+sum.Unclear)
}

// AdmissionShare is the share of the zone's machines that work below production may have taken
// since the zone came back: none while it is down, then a share that doubles, 1 and more
// without limit. It follows from the record and the time of day, so that all controllers
// have the same without a write.
func (r *Record) AdmissionShare(now time.Time, limits *Limits) float64 {
	switch r.State {
	case Down:
		return 0
	case Recovering:
		share := r.SlowStartShare
		if share <= 0 {
			share = limits.FirstShare
		}
		every := limits.DoubleEvery
		if r.productionServed(limits) {
			every /= fastStartFactor // nothing to be ahead of: only fetches and starts are spaced
		}
		passed := max(now.Sub(time.UnixMilli(r.SinceMS)), 0)
		for ; passed >= every && share < 1; passed -= every {
			share *= 2
		}
		return share
	}
	return 1
}
