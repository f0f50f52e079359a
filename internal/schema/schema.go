package schema

import (
	"slices"

	"violetturn/internal/node"
	"violetturn/internal/statecache"
)

// Version is the newest version of the record formats that this program reads and writes. The
// previous program records no version and loses unknown fields when it rewrites a record, so this
// package decides on the use of every format that the previous program can't read.
const Version = 2

// WriteBudget provides the number of writes that may be sent to the state service now.
type WriteBudget interface {
	Available() int
}

// State decides which record formats may be written and how large records may be. Create it with
// New.
type State struct {
	node   *node.Info
	cache  *statecache.Cache
	budget WriteBudget

	limitsLowered bool           // the announced lower limits are in force: the state service refused a larger transaction
	reducedTxnOps int            // maximum writes per transaction if lower than announced; 0: as announced
	splitRequests map[string]int // by job with an oversized record: the generation that the split creates
}

// New returns a State without recorded refusals of the state service.
func New(info *node.Info, cache *statecache.Cache, budget WriteBudget) *State {
	return &State{node: info, cache: cache, budget: budget, splitRequests: map[string]int{}}
}

// AllUpgraded reports whether every configured controller, running or not, has recorded that it
// reads the formats of this version. The capability record of a controller remains when the
// controller ends, so that a single controller can decide this after all others have stopped. A
// controller whose node record shows an older version (it was rolled back) counts as not upgraded,
// whatever its capability record contains.
func (s *State) AllUpgraded() bool {
	for _, name := range s.node.Shards { // shards have the names of controllers
		node := s.cache.Nodes[name].Record
		if !s.supportsCurrentVersion(name) || node != nil && node.SchemaVersion < Version {
			return false
		}
	}
	return s.cache.Loaded
}

// IsDowngraded reports whether a controller runs the previous version although all controllers had
// been upgraded. It would lose unknown fields of records, so no shard is transferred to it.
func (s *State) IsDowngraded(name string) bool {
	node := s.cache.Nodes[name].Record
	if node == nil || node.SchemaVersion >= Version {
		return false
	}
	return !slices.ContainsFunc(s.node.Shards, func(member string) bool { return !s.supportsCurrentVersion(member) })
}

// supportsCurrentVersion reports whether a controller's capability record has this version or a
// later one.
func (s *State) supportsCurrentVersion(name string) bool {
	capability := s.cache.Capabilities[name].Record
	return capability != nil && capability.SchemaVersion >= Version
}

// FeatureEnabled reports whether a feature is enabled in this controller and, according to the
// capability records, on every configured controller, running or not. A controller whose node
// record lacks the feature, because it was started without it or its version does not support it,
// disables the feature everywhere.
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
