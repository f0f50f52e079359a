// Package zonestate observes, for each zone, the machines of the shards that this controller leads,
// evaluates the zone's health, and decides which work may use the capacity of zones that are down or
// recovering. It restricts work only if the zone recovery feature is on. Admission depends on records
// that all controllers cache, so that they decide alike, whichever of them leads the machines'
// shards; only the production work that waits in a controller's own shards is taken from its last
// observation. The lock of internal/state guards the package's state.
package zonestate
