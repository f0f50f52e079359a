package finalstate

import (
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/node"
)

// Cache holds the final states of the most recently finished jobs, up to a limit.
type Cache struct {
	node *node.Info

	byJob          map[string]job.FinalState
	insertionOrder []string // job IDs, oldest entry first
}

// New returns an empty cache.
func New(node *node.Info) *Cache {
	return &Cache{node: node, byJob: map[string]job.FinalState{}}
}

// Get returns the final state of a job, and whether the cache holds it. A final state never
// changes.
func (c *Cache) Get(uid string) (job.FinalState, bool) {
	finalState, ok := c.byJob[uid]
	return finalState, ok
}

// Add adds the final state of a job. If the cache is full, the oldest entry is removed.
func (c *Cache) Add(uid string, finalState job.FinalState) {
	if _, ok := c.byJob[uid]; !ok {
		c.insertionOrder = append(c.insertionOrder, uid)
		if len(c.insertionOrder) > maxEntries(c.node.Settings) {
			delete(c.byJob, c.insertionOrder[0])
			c.insertionOrder = c.insertionOrder[1:]
		}
	}
	c.byJob[uid] = finalState
}

const (
	// finalStateBytes is the approximate memory use of one entry.
	finalStateBytes = 256
	// memoryDivisor limits the entries to this fraction (one part in 64) of a controller's memory.
	memoryDivisor = 64
	// minEntries is kept whatever the memory.
	minEntries = 1024
)

// maxEntries returns the maximum number of entries. Final states beyond it are read from the state
// service on request.
func maxEntries(settings *config.Settings) int {
	return max(minEntries, int(settings.Facts.Limits.MemoryMB*(1<<20)/memoryDivisor/finalStateBytes))
}
