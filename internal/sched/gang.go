package sched

import (
	"math/rand/v2"
	"time"
)

// Gang steals room for a job whose tasks can only start all together, as the
// paper's Algorithm 2 has it: probe a random part, claim what it has up to what
// is missing, sleep after an empty one, and after too many empty ones in a row
// release all claims and begin again. It starts nothing until all is held. The
// present protocol has no shape that needs it; what else needs all its room at
// once can use it.
type Gang struct {
	Need  int           // tasks
	Retry int           // misses in a row that are borne
	Sleep time.Duration // after each miss

	Held     map[string]int // claimed tasks by part
	Released bool           // it has begun again: it goes before newer ones

	held   int
	misses int
	until  time.Time
}

// The values that DESIGN starts with.
const (
	StartSleep = time.Second
	StartRetry = 3
)

// NewGang makes a gang of n tasks.
func NewGang(n int) *Gang {
	return &Gang{Need: n, Retry: StartRetry, Sleep: StartSleep, Held: map[string]int{}}
}

// Complete tells whether all room is held.
func (g *Gang) Complete() bool { return g.held >= g.Need }

// Probe names the part to look at now, and how many tasks to claim there at
// most; none while the gang sleeps or once it is complete.
func (g *Gang) Probe(now time.Time, parts []string, rnd *rand.Rand) (part string, most int, ok bool) {
	if g.Complete() || now.Before(g.until) || len(parts) == 0 {
		return "", 0, false
	}
	return parts[rnd.IntN(len(parts))], g.Need - g.held, true
}

// Claimed notes that a claim on a part was committed.
func (g *Gang) Claimed(part string, n int) {
	g.Held[part] += n
	g.held += n
	g.misses = 0
}

// Missed notes an empty part. When it tells so, the claims in the result are to
// be released: the gang holds them no more.
func (g *Gang) Missed(now time.Time) (release map[string]int) {
	g.misses++
	g.until = now.Add(g.Sleep)
	if g.misses <= g.Retry {
		return nil
	}
	release = g.Held
	g.Held, g.held, g.misses, g.Released = map[string]int{}, 0, 0, true
	return release
}

// Before tells whether a goes before b: released ones first, then the older.
func Before(a, b *Gang, aAt, bAt time.Time) bool {
	if a.Released != b.Released {
		return a.Released
	}
	return aAt.Before(bAt)
}
