package state

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Guard is a controller's state behind its lock: nothing reaches the state but through
// Lock, so that whoever has it holds the lock. No lock is held across I/O. With a meter it
// records which functions hold the lock, for how long, and how long they waited to get it.
type Guard struct {
	state  *State
	mutex  sync.Mutex
	meter  *lockMeter // nil: nothing is recorded
	holder uintptr    // return address in the function that holds the lock
	since  time.Time  // when it got the lock
}

// NewGuard puts a state behind a lock.
func NewGuard(state *State) *Guard { return &Guard{state: state} }

// StartMeter records from now on how the lock is used. It is called before the state is.
func (g *Guard) StartMeter() { g.meter = newLockMeter() }

// LockUses returns what was recorded since StartMeter or the last call, by function, the
// longest in all first.
func (g *Guard) LockUses() []LockUse {
	g.Lock()
	defer g.Unlock()
	return g.meter.take()
}

// Lock takes the lock and returns the state, which is not to be used after Unlock.
func (g *Guard) Lock() *State {
	if g.meter == nil {
		g.mutex.Lock()
		return g.state
	}
	asked := time.Now()
	g.mutex.Lock()
	g.since = time.Now()
	g.holder = callerOf(2)
	g.meter.waited(g.holder, g.since.Sub(asked))
	return g.state
}

// Unlock releases the lock.
func (g *Guard) Unlock() {
	if g.meter != nil && !g.since.IsZero() {
		g.meter.held(g.holder, time.Since(g.since))
		g.since = time.Time{}
	}
	g.mutex.Unlock()
}

// callerOf returns the return address so many frames above its caller.
func callerOf(frames int) uintptr {
	var counters [1]uintptr
	runtime.Callers(frames+1, counters[:])
	return counters[0]
}

// lockMeter sums up how a lock is used. The lock itself guards it.
type lockMeter struct {
	byHolder map[uintptr]*LockUse
}

// LockUse is what one function made of the state's lock.
type LockUse struct {
	Function    string
	Holds       int
	TotalHeld   time.Duration // in all
	LongestHold time.Duration // a single hold
	TotalWaited time.Duration // in all, before it got the lock
}

func newLockMeter() *lockMeter { return &lockMeter{byHolder: map[uintptr]*LockUse{}} }

func (m *lockMeter) use(holder uintptr) *LockUse {
	use := m.byHolder[holder]
	if use == nil {
		use = &LockUse{}
		m.byHolder[holder] = use
	}
	return use
}

func (m *lockMeter) waited(holder uintptr, d time.Duration) { m.use(holder).TotalWaited += d }

func (m *lockMeter) held(holder uintptr, d time.Duration) {
	use := m.use(holder)
	use.Holds++
	use.TotalHeld += d
	use.LongestHold = max(use.LongestHold, d)
}

// Take returns what was recorded, by function, the longest in all first, and begins
// anew.
func (m *lockMeter) take() []LockUse {
	byFunction := map[string]*LockUse{}
	for holder, use := range m.byHolder {
		frame, _ := runtime.CallersFrames([]uintptr{holder}).Next()
		sum := byFunction[frame.Function]
		if sum == nil {
			sum = &LockUse{Function: frame.Function}
			byFunction[frame.Function] = sum
		}
		sum.Holds += use.Holds
		sum.TotalHeld += use.TotalHeld
		sum.LongestHold = max(sum.LongestHold, use.LongestHold)
		sum.TotalWaited += use.TotalWaited
	}
	clear(m.byHolder)
	uses := make([]LockUse, 0, len(byFunction))
	for _, use := range byFunction {
		uses = append(uses, *use)
	}
	slices.SortFunc(uses, func(a, b LockUse) int {
		return cmp.Or(cmp.Compare(b.TotalHeld, a.TotalHeld), cmp.Compare(a.Function, b.Function))
	})
	return uses
}
