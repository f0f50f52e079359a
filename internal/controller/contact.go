package controller

import (
	"context"
	"time"

	"violetturn/internal/shard"
)

// workerContact is what a node knows of whether its workers reach it. One that loses
// nothing but its workers keeps its hold and with it its parts, while the leases of
// all its workers run out: so it says that it is mute, hands its parts to peers in
// the orderly way and takes none until a worker has answered it.
type workerContact struct {
	at    time.Time // when a worker was last heard
	steps int       // steps of the hold in a row without hearing one
	mute  bool
	some  bool // some worker is heard
}

// few is after how many steps of its hold without a sign of any worker a node is
// mute (one that stood still itself first hears again), and how many machines have
// to be silent: one or two are as likely lost themselves, and each change of owner
// starts the wait for the end of their leases anew.
const few = 3

// listens tells whether a node lives and is reached by workers. Call with the lock
// held.
func (c *Controller) listens(node string) bool {
	n := c.replica.nodes[node].v
	return n != nil && !n.Mute
}

// listen judges whether workers reach this node, and tells whether it should leave
// its parts to others: only when another is heard, or it may as well be the workers,
// and their part would go round. Call with the lock held.
func (c *Controller) listen(ctx context.Context, now time.Time) bool {
	h := &c.contact
	if h.mute {
		c.probe(ctx)
	} else if round := c.cfg.Report() * 5 / 4; now.Sub(h.at) <= round { // who reports at all has done so in that time
		h.steps = 0
	} else if h.steps++; h.steps >= few {
		if h.some = false; c.expected(now) >= few {
			h.mute = true
			c.log.Info("no worker reaches this node", "last", h.at)
		}
	}
	if !h.mute {
		return false
	}
	for _, x := range c.parts {
		if n := c.replica.nodes[x].v; x != c.cfg.HostName && n != nil && n.Hear {
			return true
		}
	}
	return false
}

// expected counts the machines of own parts that should be heard: those that were,
// and those that had tasks long before. Call with the lock held.
func (c *Controller) expected(now time.Time) int {
	n := 0
	for host, m := range c.replica.hosts {
		if c.owned(m.Part) == nil {
			continue
		}
		s := c.session(host, c.mine[m.Part])
		if !s.Gone && !s.Dark && (s.Fenced || len(c.replica.onHost[host]) > 0 && now.Sub(s.Since) > c.cfg.Report()) {
			n++
		}
	}
	return n
}

// probe asks some machines of the home part, those with tasks first, whether they
// hear this node. Call with the lock held.
func (c *Controller) probe(ctx context.Context) {
	const some = 4
	var ask []string
	for pass := range 2 {
		for host, m := range c.replica.hosts {
			if m.Part == c.cfg.HostName && m.Addr != "" && (len(c.replica.onHost[host]) > 0) == (pass == 0) && len(ask) < some {
				ask = append(ask, m.Addr)
			}
		}
	}
	if len(ask) == 0 {
		c.contact = workerContact{at: c.now()} // there is nobody to be heard
		return
	}
	for _, addr := range ask {
		c.spawn(func() {
			if _, err := c.workers.Show(ctx, addr); err != nil {
				return
			}
			c.mu.Lock()
			c.heardAgain(c.now())
			c.mu.Unlock()
		})
	}
}

// heardAgain notes that workers reach this node. Call with the lock held.
func (c *Controller) heardAgain(now time.Time) {
	if c.contact.mute {
		c.log.Info("workers reach this node again")
	}
	c.contact = workerContact{at: now, some: true}
}

// nodeRecord is what this node says of itself. Call with the lock held.
func (c *Controller) nodeRecord() shard.Ownership {
	return shard.Ownership{Node: c.cfg.HostName, Incarnation: c.incarnation, Mute: c.contact.mute, Hear: c.contact.some, V: forms,
		Features: c.features.Names()}
}
