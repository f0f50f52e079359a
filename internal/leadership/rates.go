package leadership

import (
	"time"

	"violetturn/internal/logkey"
)

// RateSharers returns how many controllers share the state service's rates.
func (t *Table) RateSharers() int { return t.rateSharers }

// UpdateRateSharers counts the controllers that share the state service's rates and reports
// whether their number has changed: one that is left alone has all of the rates. One that is not
// there counts until it has been absent for a lease's time: at the start, and when all come back,
// none has registered yet, and to use all the rates alone would have the others refused.
func (t *Table) UpdateRateSharers(now time.Time) (changed bool) {
	sharers := 0
	for _, controller := range t.node.Shards {
		if t.absence(controller, now) < t.node.Settings.ControllerLeaseTTL() {
			sharers++
		}
	}
	if sharers == t.rateSharers {
		return false
	}
	t.node.Log.Info("rate share changed", logkey.Controllers(sharers), logkey.Before(t.rateSharers))
	t.rateSharers = sharers
	return true
}

// absence returns for how long a controller has not been registered, 0 if it is. This node is
// always there.
func (t *Table) absence(controller string, now time.Time) time.Duration {
	if controller == t.node.Settings.HostName || t.cache.Nodes[controller].Record != nil {
		delete(t.peerAbsentSince, controller)
		return 0
	}
	if _, found := t.peerAbsentSince[controller]; !found {
		t.peerAbsentSince[controller] = now
	}
	return now.Sub(t.peerAbsentSince[controller])
}
