package statecache

import (
	"violetturn/internal/job"
)

// Observer hears of changes that others than the cache keep track of. It is called while a
// change is taken in, with whatever guards the cache.
type Observer interface {
	JobAdded(record *job.Record)               // a job has appeared
	JobEnded(uid string, final job.FinalState) // a job is over
	TasksChanged(host string)                  // tasks were placed on a machine, or are to stop
}

// noObserver is the observer of a cache that nobody observes.
type noObserver struct{}

// Observe has an observer hear of the changes from now on.
func (m *Cache) Observe(o Observer) { m.observer = o }

func (t *Transaction) Require(key string, version uint64) { t.Preconditions[key] = version }
