// Package zonestate observes the zones of the shards that this controller leads, judges their
// health, and says which work may take room of zones that are down or recovering (off unless
// the feature is on). What it decides of admission follows from what all controllers replicate,
// so that all of them, whoever leads the machines' shards, act alike. The lock of internal/state
// guards it.
package zonestate
