package sched

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// HostSelector finds machines for the tasks of one job after the other, in shards: in the
// job's own shard first and then in the peers' shards in random order (work stealing). It
// returns the fullest fit of the first shard that has room.
type HostSelector struct {
	shards   map[string][]*Host
	random   *rand.Rand
	names    []string
	request  *TaskRequest
	order    []string   // the shards in the order of the present job
	rankings []*Ranking // of the first shards in that order, made when they are asked
	reusable []*Ranking // of earlier jobs
}

// NewHostSelector returns a chooser among machines by shard.
func NewHostSelector(shards map[string][]*Host, random *rand.Rand) *HostSelector {
	return &HostSelector{shards: shards, random: random, names: slices.Sorted(maps.Keys(shards))}
}

// BeginJob turns to the tasks of another job, one of the given shard.
func (c *HostSelector) BeginJob(own string, a *TaskRequest) {
	c.request = a
	c.reusable = append(c.reusable, c.rankings...)
	c.rankings = c.rankings[:0]
	c.order = append(c.order[:0], own)
	for _, name := range c.names {
		if name != own {
			c.order = append(c.order, name)
		}
	}
	peers := c.order[1:]
	c.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
}

// NextHost returns the machine for the job's next task, nil if there is none. zoneAllowed is that
// of Ranking.Best.
func (c *HostSelector) NextHost(zoneAllowed func(zone string) bool) *Host {
	for i, name := range c.order {
		if i == len(c.rankings) {
			c.rankings = append(c.rankings, NewRanking(c.reuse(), c.shards[name], c.request))
		}
		if h := c.rankings[i].Best(zoneAllowed); h != nil {
			return h
		}
	}
	return nil
}

// reuse returns a ranking of an earlier job, nil if there is none.
func (c *HostSelector) reuse() *Ranking {
	last := len(c.reusable) - 1
	if last < 0 {
		return nil
	}
	old := c.reusable[last]
	c.reusable = c.reusable[:last]
	return old
}
