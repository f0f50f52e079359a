// Package zonestate observes the zones of the shards that this controller leads, evaluates their
// health, and decides which work may use the capacity of zones that are down or recovering (only if
// the feature is on). Admission depends only on state that all controllers replicate, so that all of
// them reach the same decision, whichever of them leads the machines' shards. The lock of
// internal/state protects it.
package zonestate
