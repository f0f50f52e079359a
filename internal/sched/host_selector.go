package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// HostSelector selects machines for the tasks of one job after another. It searches the job's own shard
// first and then the peers' shards in random order (work stealing), and returns the best fit of the
// first shard in which a machine fits.
type HostSelector struct {
	shards     map[string][]*Host
	random     *rand.Rand
	shardNames []string
	request    *TaskRequest
	shardOrder []string   // search order for the current job
	rankings   []*Ranking // of the first shards in that order, each created when first searched
	reusable   []*Ranking // rankings of earlier jobs whose memory can be reused
}

// NewHostSelector returns a selector of machines, which are grouped by shard.
func NewHostSelector(shards map[string][]*Host, random *rand.Rand) *HostSelector {
	return &HostSelector{shards: shards, random: random, shardNames: slices.Sorted(maps.Keys(shards))}
}

// BeginJob starts the selection for another job, which belongs to the shard ownShard.
func (c *HostSelector) BeginJob(ownShard string, request *TaskRequest) {
	c.request = request
	c.reusable = append(c.reusable, c.rankings...)
	c.rankings = c.rankings[:0]
	c.shardOrder = append(c.shardOrder[:0], ownShard)
	for _, name := range c.shardNames {
		if name != ownShard {
			c.shardOrder = append(c.shardOrder, name)
		}
	}
	peers := c.shardOrder[1:]
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// NextHost returns the machine for the job's next task, or nil if none fits. zoneAllowed is passed to
// Ranking.Best.
func (c *HostSelector) NextHost(zoneAllowed func(zone string) bool) *Host {
	for i, name := range c.shardOrder {
		if i == len(c.rankings) {
			c.rankings = append(c.rankings, NewRanking(c.popReusable(), c.shards[name], c.request))
		}
		if h := c.rankings[i].Best(zoneAllowed); h != nil {
			return h
		}
	}
	return nil
}

// popReusable removes and returns a ranking of an earlier job, or nil if there is none.
func (c *HostSelector) popReusable() *Ranking {
	last := len(c.reusable) - 1
	if last < 0 {
		return nil
	}
	ranking := c.reusable[last]
	c.reusable = c.reusable[:last]
	return ranking
}
