package leadership

import (
	"time"

	"violetturn/internal/logkey"
	"violetturn/internal/node"
	"violetturn/internal/statecache"
)

// RateSharing counts the controllers that share the state service's rates. The lock of
// internal/state guards it.
type RateSharing struct {
	node  *node.Info
	cache *statecache.Cache

	sharers     int
	absentSince map[string]time.Time // controllers that have not registered, since when
}

// newRateSharing makes the count of a controller that has seen nobody yet: all configured
// controllers share the rates until their absence shows.
func newRateSharing(node *node.Info, cache *statecache.Cache) *RateSharing {
	return &RateSharing{
		node: node, cache: cache,
		sharers:     node.Settings.Facts.Size,
		absentSince: map[string]time.Time{},
	}
}

// ControllerCount returns how many controllers share the rates.
func (r *RateSharing) ControllerCount() int { return r.sharers }

// Update counts the controllers that share the rates and reports
// whether their number has changed: one that is left alone has all of the rates. One that is not
// there counts until it has been absent for a lease's time: at the start, and when all come back,
// none has registered yet, and to use all the rates alone would have the others refused.
func (r *RateSharing) Update(now time.Time) (changed bool) {
	sharers := 0
	for _, controller := range r.node.Shards {
		if r.absence(controller, now) < r.node.Settings.ControllerLeaseTTL() {
			sharers++
		}
	}
	if sharers == r.sharers {
		return false
	}
	r.node.Log.Info("rate share changed", logkey.Controllers(sharers), logkey.Before(r.sharers))
	r.sharers = sharers
	return true
}

// absence returns for how long a controller has not been registered, 0 if it is. This node is
// always there.
func (r *RateSharing) absence(controller string, now time.Time) time.Duration {
	if controller == r.node.Settings.HostName || r.cache.Nodes[controller].Record != nil {
		delete(r.absentSince, controller)
		return 0
	}
	if _, found := r.absentSince[controller]; !found {
		r.absentSince[controller] = now
	}
	return now.Sub(r.absentSince[controller])
}
