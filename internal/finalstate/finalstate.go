package finalstate

import (
	"violetturn/internal/capacity"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/node"
)

// endedJobBytes is about what a remembered end of a job takes.
const endedJobBytes = 256

// MaxRemembered bounds the ends of jobs that are remembered: a sixty-fourth of the memory. One
// that is forgotten is read from the state service when it is asked for.
func MaxRemembered(cfg *config.Settings) int {
	return max(capacity.MinArrivals, int(cfg.Facts.Limits.MemoryMB*(1<<20)/64/endedJobBytes))
}

// Remember keeps the end of a job in the bounded cache.
func (f *Cache) Remember(uid string, p job.FinalState) {
	if _, ok := f.ByJob[uid]; !ok {
		f.order = append(f.order, uid)
		if len(f.order) > MaxRemembered(f.node.Settings) {
			delete(f.ByJob, f.order[0])
			f.order = f.order[1:]
		}
	}
	f.ByJob[uid] = p
}

// Cache keeps how jobs ended, the newest ones.
type Cache struct {
	node *node.Info

	ByJob map[string]job.FinalState
	order []string // oldest first
}

// New returns an empty cache.
func New(node *node.Info) *Cache {
	return &Cache{node: node, ByJob: map[string]job.FinalState{}}
}
