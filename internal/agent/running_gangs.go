package agent

import (
	"maps"

	"violetturn/internal/statecache"
)

// RunningGangs is which gangs were seen running on the workers of this controller: a gang that
// fails before has not gathered. The lock of internal/state guards it.
type RunningGangs struct {
	cache    *statecache.Cache
	attempts map[string]uint64 // by gang, the attempt of the last task that was seen running
}

// Record notes that a task of an attempt of a gang was seen running.
func (g *RunningGangs) Record(uid string, attempt uint64) { g.attempts[uid] = attempt }

// WasRunning reports whether the last task of a gang that was seen running was of the attempt.
func (g *RunningGangs) WasRunning(uid string, attempt uint64) bool { return g.attempts[uid] == attempt }

// DropEnded drops what is known of gangs that have no record any more.
func (g *RunningGangs) DropEnded() {
	maps.DeleteFunc(g.attempts, func(uid string, _ uint64) bool { return g.cache.Jobs[uid] == nil })
}
