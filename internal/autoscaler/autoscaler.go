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

// Autoscaler decides what to rent and what to return, and remembers between rounds when it last
// looked. The lock of internal/state guards it.
type Autoscaler struct {
	node       *node.Info
	cache      *statecache.Cache
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry
	commands   *agent.DirectCommands
	room       *capacity.Calculator
	estimates  *estimate.Estimates
	zones      *zonestate.Zones
	accounts   *capacity.Accounting
	scheduler  *scheduler.Scheduler
	wake       notify.Signal

	sufficient sufficientHeadroom
	reviewedAt time.Time // when machines were last reviewed for scale-in
	migratedAt time.Time // when replicas were last migrated to save a machine
}

// Deps is what an autoscaler reads.
type Deps struct {
	Node         *node.Info
	Cache        *statecache.Cache
	Leadership   *leadership.Table
	Catalog      *catalog.Catalog
	Agents       *agent.Registry
	Commands     *agent.DirectCommands
	FreeCapacity *capacity.Calculator
	Estimates    *estimate.Estimates
	Zones        *zonestate.Zones
	Accounting   *capacity.Accounting
	Scheduler    *scheduler.Scheduler
	Wake         notify.Signal
}

// New returns an autoscaler that has not looked yet.
func New(d Deps) *Autoscaler {
	return &Autoscaler{
		node:       d.Node,
		cache:      d.Cache,
		leadership: d.Leadership,
		catalog:    d.Catalog,
		agents:     d.Agents,
		commands:   d.Commands,
		room:       d.FreeCapacity,
		estimates:  d.Estimates,
		zones:      d.Zones,
		accounts:   d.Accounting,
		scheduler:  d.Scheduler,
		wake:       d.Wake,
	}
}

// shareOfBoot is the share of a boot for which expensive looks may be put off.
const shareOfBoot = 16

// isLookDue reports whether a look that may wait a little, compared with the time that a machine
// takes to boot, is due again.
func (a *Autoscaler) isLookDue(last, now time.Time) bool {
	return now.Sub(last) >= a.catalog.ShortestBoot()/shareOfBoot
}
