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
	"violetturn/internal/schema"
	"violetturn/internal/statecache"
	"violetturn/internal/zonehealth"
)

// ProductionPriority is the priority of production work.
const ProductionPriority = 0

// Zones is what this controller sees of zones. The lock of internal/state guards it.
type Zones struct {
	node       *node.Info
	cache      *statecache.Cache
	schema     *schema.State
	leadership *leadership.Table
	catalog    *catalog.Catalog
	agents     *agent.Registry

	observedAt   time.Time
	observations Observations
	admitted     map[string]bool // machines of recovering zones where tasks start again in place
}

// Deps is what zones read.
type Deps struct {
	Node       *node.Info
	Cache      *statecache.Cache
	Schema     *schema.State
	Leadership *leadership.Table
	Catalog    *catalog.Catalog
	Agents     *agent.Registry
}

// New returns zones that have not been observed.
func New(d Deps) *Zones {
	return &Zones{
		node:       d.Node,
		cache:      d.Cache,
		schema:     d.Schema,
		leadership: d.Leadership,
		catalog:    d.Catalog,
		agents:     d.Agents,
	}
}

// IsObservationDue reports whether the zones are to be observed again: once in a heartbeat
// interval, if the feature is on.
func (z *Zones) IsObservationDue(now time.Time) bool {
	return now.Sub(z.observedAt) >= z.node.Settings.HeartbeatInterval() && z.schema.FeatureEnabled(features.ZoneRecoveryName)
}

// Update observes the zones and works out on which machines tasks start again in place.
func (z *Zones) Update(now time.Time) {
	observed := z.Observe(now)
	z.observedAt, z.observations = now, observed.Observations
	z.admitted = z.AdmittedMachines(observed.HealthyHosts, now)
}

// ObservedZones lists the zones that were observed, by name.
func (z *Zones) ObservedZones() []string { return slices.Sorted(maps.Keys(z.observations)) }

// RestrictedZoneRecord returns the record of a zone that is down or recovering; nil if it is not, or the
// feature is off. It ends also if nobody can write that it does.
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

// limits returns the bounds between the states of zones.
func (z *Zones) limits() *zonehealth.Limits {
	recovery := &z.node.Features.ZoneRecovery
	leases := func(n float64) time.Duration { return time.Duration(n * float64(z.node.Settings.WorkerLease())) }
	return &zonehealth.Limits{
		SuspectShare:     recovery.SuspectShare,
		DownShare:        recovery.DownShare,
		ConfirmAfter:     leases(recovery.Confirm),
		InitialShare:     recovery.FirstShare,
		MinInitialShare:  recovery.LeastShare,
		DoublingInterval: leases(recovery.DoubleEvery),
		MaxStateDuration: leases(recovery.Longest),
	}
}

// isProduction reports whether a job is production work.
func isProduction(spec *api.Job) bool {
	priority := spec.Priority.Level()
	return priority == ProductionPriority
}
