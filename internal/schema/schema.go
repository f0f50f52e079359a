package schema

import (
	"slices"

	"violetturn/internal/node"
	"violetturn/internal/statecache"
)

// Version is the newest version of records' forms that this program reads and writes. The
// program before it says nothing of versions and loses what it doesn't know when it rewrites
// a record, so all forms that it doesn't know are decided here.
const Version = 2

// WriteBudget tells how many changes may be sent to the state service now.
type WriteBudget interface {
	Available() int
}

// State decides which forms of records may be written, and how large. Use New.
type State struct {
	node   *node.Info
	cache  *statecache.Cache
	budget WriteBudget

	limitsLowered  bool           // the state service has refused what was larger than its coming limits
	acceptedTxnOps int            // changes in a transaction that it took, fewer than announced; 0: as announced
	splitRequests  map[string]int // jobs with a record that outgrew a value: the generation to be split into
}

// New makes a State that has met no refusal.
func New(info *node.Info, cache *statecache.Cache, budget WriteBudget) *State {
	return &State{node: info, cache: cache, budget: budget, splitRequests: map[string]int{}}
}

// AllUpgraded reports whether every configured controller, living or not, has shown that it
// reads this version's forms. Each leaves a capability record that outlives it, so that one
// alone after the end of all still knows. One whose node record shows an older version
// (somebody went back to it) counts as not upgraded whatever its capability record says.
func (s *State) AllUpgraded() bool {
	for _, name := range s.node.Shards {
		node := s.cache.Nodes[name].Record
		if !s.hasLeftVersion(name) || node != nil && node.SchemaVersion < Version {
			return false
		}
	}
	return s.cache.Loaded
}

// IsDowngraded reports whether a controller runs the version before although all had been
// upgraded: it would lose what it doesn't know, so nothing is handed to it.
func (s *State) IsDowngraded(name string) bool {
	node := s.cache.Nodes[name].Record
	if node == nil || node.SchemaVersion >= Version {
		return false
	}
	return !slices.ContainsFunc(s.node.Shards, func(x string) bool { return !s.hasLeftVersion(x) })
}

// hasLeftVersion reports whether a controller's capability record names this version.
func (s *State) hasLeftVersion(name string) bool {
	capability := s.cache.Capabilities[name].Record
	return capability != nil && capability.SchemaVersion >= Version
}

// FeatureEnabled reports whether a feature is on: here, and at every configured controller,
// living or not, as its capability record says. One whose node record shows it without the
// feature, because it was started without or is of a version that doesn't know it, has it
// off everywhere.
func (s *State) FeatureEnabled(feature string) bool {
	if !slices.Contains(s.node.Features.Names(), feature) {
		return false
	}
	for _, name := range s.node.Shards {
		capability, node := s.cache.Capabilities[name].Record, s.cache.Nodes[name].Record
		if capability == nil || !slices.Contains(capability.Features, feature) {
			return false
		}
		if node != nil && !slices.Contains(node.Features, feature) {
			return false
		}
	}
	return s.AllUpgraded()
}
