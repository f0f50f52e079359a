package finalstate

import (
	"violetturn/internal/capacity"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/node"
)

// Cache remembers how jobs ended, the newest ones.
type Cache struct {
	node *node.Info

	byJob map[string]job.FinalState
	order []string // the jobs, in the order in which they came
}

// New returns an empty cache.
func New(node *node.Info) *Cache {
	return &Cache{node: node, byJob: map[string]job.FinalState{}}
}

// Get returns how a job ended, and whether that is remembered. A final state never changes.
func (c *Cache) Get(uid string) (job.FinalState, bool) {
	final, ok := c.byJob[uid]
	return final, ok
}

// Add keeps how a job ended. If the cache is full then, it drops the job that came first.
func (c *Cache) Add(uid string, final job.FinalState) {
	if _, ok := c.byJob[uid]; !ok {
		c.order = append(c.order, uid)
		if len(c.order) > maxRemembered(c.node.Settings) {
			delete(c.byJob, c.order[0])
			c.order = c.order[1:]
		}
	}
	c.byJob[uid] = final
}

const (
	// finalStateBytes is about how much memory one remembered final state takes.
	finalStateBytes = 256
	// memoryShare is the inverse of the share of a controller's memory that they may take.
	memoryShare = 64
)

// maxRemembered returns how many final states are remembered at most. One that was dropped is
// read from the state service when somebody asks for it.
func maxRemembered(settings *config.Settings) int {
	return max(capacity.MinArrivals, int(settings.Facts.Limits.MemoryMB*(1<<20)/memoryShare/finalStateBytes))
}
