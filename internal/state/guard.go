package state

import (
	"cmp"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Guard is a controller's state with its lock. The state is accessible only through Lock, so that
// code that uses it holds the lock. The lock is never held across I/O. With a meter, Guard records
// which functions hold the lock, for how long, and how long they waited to acquire it.
type Guard struct {
	state    *State
	mutex    sync.Mutex
	meter    *lockMeter // nil: lock use is not recorded
	holder   uintptr    // return address in the function that holds the lock
	lockedAt time.Time  // when the holder acquired the lock; zero if it is not held or was acquired without a meter
}

// NewGuard returns a Guard of a state.
func NewGuard(state *State) *Guard { return &Guard{state: state} }

// StartMeter starts to record lock use. It must be called before the state is used.
func (g *Guard) StartMeter() { g.meter = newLockMeter() }

// LockUses returns the lock use since StartMeter or the last call, by function, in descending order
// of the total time that the lock was held.
func (g *Guard) LockUses() []LockUse {
	g.Lock()
	defer g.Unlock()
	return g.meter.drain()
}

// Lock acquires the lock and returns the state, which must not be used after Unlock.
func (g *Guard) Lock() *State {
	if g.meter == nil {
		g.mutex.Lock()
		return g.state
	}
	requestedAt := time.Now()
	g.mutex.Lock()
	g.lockedAt = time.Now()
	g.holder = returnAddress(2)
	g.meter.recordWait(g.holder, g.lockedAt.Sub(requestedAt))
	return g.state
}

// Unlock releases the lock.
func (g *Guard) Unlock() {
	if g.meter != nil && !g.lockedAt.IsZero() {
		g.meter.recordHold(g.holder, time.Since(g.lockedAt))
		g.lockedAt = time.Time{}
	}
	g.mutex.Unlock()
}

// returnAddress returns the return address in the function that is the given number of stack frames
// above returnAddress: 1 is its caller.
func returnAddress(frames int) uintptr {
	var returnAddresses [1]uintptr
	runtime.Callers(frames+1, returnAddresses[:])
	return returnAddresses[0]
}

// lockMeter sums up the use of a lock by holder. It is guarded by that lock.
type lockMeter struct {
	byHolder map[uintptr]*LockUse
}

// LockUse is the use of the state's lock by one function.
type LockUse struct {
	Function    string
	Holds       int
	TotalHeld   time.Duration // total time that the lock was held
	LongestHold time.Duration // the longest single hold
	TotalWaited time.Duration // total time spent waiting for the lock
}

func newLockMeter() *lockMeter { return &lockMeter{byHolder: map[uintptr]*LockUse{}} }

func (m *lockMeter) useOf(holder uintptr) *LockUse {
	use := m.byHolder[holder]
	if use == nil {
		use = &LockUse{}
		m.byHolder[holder] = use
	}
	return use
}

func (m *lockMeter) recordWait(holder uintptr, d time.Duration) { m.useOf(holder).TotalWaited += d }

func (m *lockMeter) recordHold(holder uintptr, d time.Duration) {
	use := m.useOf(holder)
	use.Holds++
	use.TotalHeld += d
	use.LongestHold = max(use.LongestHold, d)
}

// drain returns the recorded uses by function, in descending order of the total time that the lock
// was held, and clears them.
func (m *lockMeter) drain() []LockUse {
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
