package autoscaler

import (
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/capacity"
	"violetturn/internal/catalog"
	"violetturn/internal/estimate"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/scheduler"
	"violetturn/internal/statecache"
	"violetturn/internal/zonestate"
)

// Autoscaler decides which machines to rent and which to return. It records when its periodic
// checks last ran. The lock of internal/state guards it.
type Autoscaler struct {
	node               *node.Info
	cache              *statecache.Cache
	leadership         *leadership.Table
	catalog            *catalog.Catalog
	agents             *agent.Registry
	commands           *agent.DirectCommands
	capacityCalculator *capacity.Calculator
	estimates          *estimate.Estimates
	zones              *zonestate.Zones
	accounting         *capacity.Accounting
	scheduler          *scheduler.Scheduler
	wake               notify.Signal // wakes the decision loop

	lastSufficient sufficientHeadroom
	reviewedAt     time.Time // when machines were last reviewed for scale-in
	migratedAt     time.Time // when a machine was last cordoned to migrate its replicas
}

// Deps are the dependencies of an Autoscaler.
type Deps struct {
	Node               *node.Info
	Cache              *statecache.Cache
	Leadership         *leadership.Table
	Catalog            *catalog.Catalog
	Agents             *agent.Registry
	Commands           *agent.DirectCommands
	CapacityCalculator *capacity.Calculator
	Estimates          *estimate.Estimates
	Zones              *zonestate.Zones
	Accounting         *capacity.Accounting
	Scheduler          *scheduler.Scheduler
	Wake               notify.Signal
}

// New returns an autoscaler that has not run any check.
func New(d Deps) *Autoscaler {
	return &Autoscaler{
		node:               d.Node,
		cache:              d.Cache,
		leadership:         d.Leadership,
		catalog:            d.Catalog,
		agents:             d.Agents,
		commands:           d.Commands,
		capacityCalculator: d.CapacityCalculator,
		estimates:          d.Estimates,
		zones:              d.Zones,
		accounting:         d.Accounting,
		scheduler:          d.Scheduler,
		wake:               d.Wake,
	}
}

// checksPerBoot divides the shortest boot time into the minimum interval between two expensive
// checks.
const checksPerBoot = 16

// isCheckDue reports whether a periodic check is due again. A check may be delayed by a time that
// is short compared with the boot time of a machine.
func (a *Autoscaler) isCheckDue(lastCheck, now time.Time) bool {
	return now.Sub(lastCheck) >= a.catalog.ShortestBoot()/checksPerBoot
}
