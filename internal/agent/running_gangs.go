package agent

import (
	"maps"

	"violetturn/internal/statecache"
)

// RunningGangs records which gangs were reported as running by workers of the shards that this
// controller leads. A gang that fails without having been reported as running failed to gather.
// The lock of internal/state guards it.
type RunningGangs struct {
	cache    *statecache.Cache
	attempts map[string]uint64 // by gang, the attempt of the task most recently reported as running
}

// Record records that a task of an attempt of a gang was reported as running.
func (g *RunningGangs) Record(uid string, attempt uint64) { g.attempts[uid] = attempt }

// WasRunning reports whether the task of a gang that was most recently reported as running belonged
// to the attempt.
func (g *RunningGangs) WasRunning(uid string, attempt uint64) bool { return g.attempts[uid] == attempt }

// RemoveEnded removes the entries of gangs that no longer have a record.
func (g *RunningGangs) RemoveEnded() {
	maps.DeleteFunc(g.attempts, func(uid string, _ uint64) bool { return g.cache.Jobs[uid] == nil })
}
