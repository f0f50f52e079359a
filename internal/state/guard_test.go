package state

import (
	"strings"
	"testing"
	"time"
)

// A metered lock counts holds by the function that acquired the lock, also if the unlock is
// deferred, and draining the meter clears the counts. Without a meter the lock works as usual.
func TestLockMeterCountsHoldsByFunction(t *testing.T) {
	var guard Guard
	if !lockAndUnlock(&guard) {
		t.Fatal("the mutex is free after Lock, want it held")
	}
	guard.meter = newLockMeter()
	for range 3 {
		lockWithDeferredUnlock(&guard)
	}
	lockAndUnlock(&guard)
	counts := map[string]int{}
	for _, use := range guard.meter.drain() {
		counts[use.Function[strings.LastIndex(use.Function, ".")+1:]] = use.Holds
		if use.LongestHold > use.TotalHeld || use.TotalHeld < 0 || use.TotalWaited < 0 {
			t.Errorf("lock use is inconsistent: %+v", use)
		}
	}
	if counts["lockWithDeferredUnlock"] != 3 || counts["lockAndUnlock"] != 1 || len(counts) != 2 {
		t.Errorf("holds by function: %v, want 3 of lockWithDeferredUnlock and 1 of lockAndUnlock", counts)
	}
	if uses := guard.meter.drain(); len(uses) != 0 {
		t.Errorf("lock uses after draining: %v, want none", uses)
	}
}

func lockWithDeferredUnlock(guard *Guard) {
	guard.Lock()
	defer guard.Unlock()
}

func lockAndUnlock(guard *Guard) (held bool) {
	guard.Lock()
	held = !guard.mutex.TryLock()
	guard.Unlock()
	return held
}

// A lock that was acquired before the meter was set can be released; the meter does not count it.
func TestLockMeterStartedWhileLockIsHeld(t *testing.T) {
	var guard Guard
	guard.Lock()
	guard.meter = newLockMeter()
	guard.Unlock()
	if uses := guard.meter.drain(); len(uses) != 0 {
		t.Errorf("lock uses of a hold that began before the meter was set: %v, want none", uses)
	}
	lockAndUnlock(&guard)
	if uses := guard.meter.drain(); len(uses) != 1 || uses[0].TotalHeld > time.Hour {
		t.Errorf("lock uses: %v, want one, of at most an hour", uses)
	}
}
