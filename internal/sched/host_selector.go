package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// HostSelector selects machines for the tasks of one job after another. It searches the job's own
// shard first and then the peers' shards in random order (work stealing), and returns the best fit
// of the first shard in which a machine fits.
type HostSelector struct {
	shards     map[string][]*Host
	random     *rand.Rand
	shardNames []string
	request    *TaskRequest
	shardOrder []string   // search order for the current job
	rankings   []*Ranking // of the first shards in that order, each created when first searched
	reusable   []*Ranking // rankings of earlier jobs whose memory can be reused
}

// NewHostSelector returns a selector for the given machines, which are grouped by shard.
func NewHostSelector(shards map[string][]*Host, random *rand.Rand) *HostSelector {
	return &HostSelector{shards: shards, random: random, shardNames: slices.Sorted(maps.Keys(shards))}
}

// BeginJob starts the selection for another job, which belongs to the shard ownShard.
func (s *HostSelector) BeginJob(ownShard string, request *TaskRequest) {
	s.request = request
	s.reusable = append(s.reusable, s.rankings...)
	s.rankings = s.rankings[:0]
	s.shardOrder = append(s.shardOrder[:0], ownShard)
	for _, name := range s.shardNames {
		if name != ownShard {
			s.shardOrder = append(s.shardOrder, name)
		}
	}
	peers := s.shardOrder[1:]
	s.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// NextHost returns the machine for the job's next task, or nil if none fits. zoneAllowed is passed to
// Ranking.Best.
func (s *HostSelector) NextHost(zoneAllowed func(zone string) bool) *Host {
	for i, name := range s.shardOrder {
		if i == len(s.rankings) {
			s.rankings = append(s.rankings, NewRanking(s.popReusable(), s.shards[name], s.request))
		}
		if h := s.rankings[i].Best(zoneAllowed); h != nil {
			return h
		}
	}
	return nil
}

// popReusable removes and returns a ranking of an earlier job, or nil if there is none.
func (s *HostSelector) popReusable() *Ranking {
	last := len(s.reusable) - 1
	if last < 0 {
		return nil
	}
	ranking := s.reusable[last]
	s.reusable = s.reusable[:last]
	return ranking
}
