package state

import (
	"strings"
	"testing"
	"time"
)

// A metered lock tells holds apart by the function that took it, deferred unlocks
// included, and begins anew when it was read; without a meter it only locks.
func TestLockMeter(t *testing.T) {
	var l Guard
	if !lockPlainly(&l) {
		t.Fatal("not locked")
	}
	l.meter = newLockMeter()
	for range 3 {
		lockDeferred(&l)
	}
	lockPlainly(&l)
	counts := map[string]int{}
	for _, use := range l.meter.take() {
		counts[use.Function[strings.LastIndex(use.Function, ".")+1:]] = use.Holds
		if use.LongestHold > use.TotalHeld || use.TotalHeld < 0 || use.TotalWaited < 0 {
			t.Errorf("%+v", use)
		}
	}
	if counts["lockDeferred"] != 3 || counts["lockPlainly"] != 1 || len(counts) != 2 {
		t.Errorf("holds by function: %v", counts)
	}
	if uses := l.meter.take(); len(uses) != 0 {
		t.Errorf("%v are left", uses)
	}
}

func lockDeferred(l *Guard) {
	l.Lock()
	defer l.Unlock()
}

func lockPlainly(l *Guard) (held bool) {
	l.Lock()
	held = !l.mutex.TryLock()
	l.Unlock()
	return held
}

// A lock that was taken before it was metered can be released: nothing is counted for it.
func TestLockMeterBeginsWhileHeld(t *testing.T) {
	var l Guard
	l.Lock()
	l.meter = newLockMeter()
	l.Unlock()
	if uses := l.meter.take(); len(uses) != 0 {
		t.Errorf("%v", uses)
	}
	lockPlainly(&l)
	if uses := l.meter.take(); len(uses) != 1 || uses[0].TotalHeld > time.Hour {
		t.Errorf("%v", uses)
	}
}
