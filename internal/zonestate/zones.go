package zonestate

import (
	"maps"
	"slices"
	"time"

	"violetturn/internal/agent"
	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/features"
	"violetturn/internal/leadership"
	"violetturn/internal/node"
	"violetturn/internal/numeric"
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// ProductionPriority is the priority level of production work.
const ProductionPriority = 0

// Zones holds this controller's observations of zones. The lock of internal/state guards it.
type Zones struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry

	lastObservedAt time.Time
	observations   Observations
	admittedHosts  map[string]bool // machines of recovering zones on which tasks may restart in place
}

// Deps are the components that Zones reads.
type Deps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Schema     *schema.State
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
}

// New returns a Zones without observations.
func New(deps Deps) *Zones {
	return &Zones{
		node:       deps.Node,
		cache:      deps.Cache,
		schema:     deps.Schema,
		leadership: deps.Leadership,
		catalog:    deps.Catalog,
		agents:     deps.Agents,
	}
}

// IsObservationDue reports whether the zones must be observed again: once per heartbeat interval, if
// the zone recovery feature is on.
func (z *Zones) IsObservationDue(now time.Time) bool {
	return now.Sub(z.lastObservedAt) >= z.node.Settings.HeartbeatInterval() && z.schema.FeatureEnabled(features.ZoneRecoveryName)
}

// Update observes the zones and computes on which machines tasks may restart in place.
func (z *Zones) Update(now time.Time) {
	observed := z.Observe(now)
	z.lastObservedAt, z.observations = now, observed.Observations
	z.admittedHosts = z.AdmittedMachines(observed.HealthyHosts, now)
}

// ObservedZones returns the names of the observed zones in sorted order.
func (z *Zones) ObservedZones() []string { return slices.Sorted(maps.Keys(z.observations)) }

// RestrictedZoneRecord returns the record of a zone that is down or recovering, or nil if the zone is
// neither or the feature is off. The restriction also ends after the maximum duration of the state,
// even if no controller can write the next state.
func (z *Zones) RestrictedZoneRecord(zone string, now time.Time) *zonehealth.Record {
	record := z.cache.Zones[statecache.ZoneID(zone)].Record
	if record == nil || !record.RestrictsPlacement() || !z.schema.FeatureEnabled(features.ZoneRecoveryName) {
		return nil
	}
	if now.Sub(time.UnixMilli(record.SinceMS)) >= z.limits().MaxStateDuration {
		return nil
	}
	return record
}

// limits returns the configured limits for the evaluation of zones.
func (z *Zones) limits() *zonehealth.Limits {
	settings := &z.node.Features.ZoneRecovery
	leaseMultiple := func(n float64) time.Duration { return numeric.ScaledDuration(z.node.Settings.WorkerLease(), n) }
	return &zonehealth.Limits{
		SuspectShare:     settings.SuspectShare,
		DownShare:        settings.DownShare,
		ConfirmAfter:     leaseMultiple(settings.ConfirmAfter),
		InitialShare:     settings.InitialShare,
		MinInitialShare:  settings.MinInitialShare,
		DoublingInterval: leaseMultiple(settings.DoublingInterval),
		MaxStateDuration: leaseMultiple(settings.MaxStateDuration),
	}
}

// isProduction reports whether a job is production work.
func isProduction(spec *api.Job) bool {
	priority := spec.Priority.Level()
	return priority == ProductionPriority
}
