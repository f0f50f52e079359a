package leadership

import (
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/node"
	"violetturn/internal/statecache"
)

// RateSharing counts the controllers that share the state service's rate limits. The lock of
// internal/state guards it.
type RateSharing struct {
	node  *node.Info
	cache *statecache.Cache

	controllerCount int
	absentSince     map[string]time.Time // since when controllers have not been registered
}

// newRateSharing creates the count of a controller that has just started: all configured controllers
// count until they have been absent for the time of a lease.
func newRateSharing(node *node.Info, cache *statecache.Cache) *RateSharing {
	return &RateSharing{
		node: node, cache: cache,
		controllerCount: node.Settings.Facts.ControllerCount,
		absentSince:     map[string]time.Time{},
	}
}

// ControllerCount returns how many controllers share the rate limits.
func (r *RateSharing) ControllerCount() int { return r.controllerCount }

// Update counts the controllers that share the rate limits and reports whether their number has
// changed. A controller that runs alone may use the whole rate. An absent controller counts until it
// has been absent for the time of a lease: at startup, and when all controllers restart, none is
// registered yet, and a controller that used the whole rate would cause the requests of the others
// to be refused.
func (r *RateSharing) Update(now time.Time) (changed bool) {
	controllerCount := 0
	for _, controller := range r.node.Shards {
		if r.absenceDuration(controller, now) < r.node.Settings.ControllerLeaseTTL() {
			controllerCount++
		}
	}
	if controllerCount == r.controllerCount {
		return false
	}
	r.node.Log.Info("rate share changed", logkey.Controllers(controllerCount), logkey.PreviousCount(r.controllerCount))
	r.controllerCount = controllerCount
	return true
}

// absenceDuration returns for how long a controller has not been registered, 0 if it is
// registered. This controller always counts as registered.
func (r *RateSharing) absenceDuration(controller string, now time.Time) time.Duration {
	if controller == r.node.Settings.HostName || r.cache.Nodes[controller].Record != nil {
		delete(r.absentSince, controller)
		return 0
	}
	if _, found := r.absentSince[controller]; !found {
		r.absentSince[controller] = now
	}
	return now.Sub(r.absentSince[controller])
}
