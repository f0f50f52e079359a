package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// tendParts registers this node, takes parts without an owner and hands parts
// back to their home controllers.
func (c *Controller) tendParts(ctx context.Context) {
	now := c.now()
	c.mu.Lock()
	if !c.loaded {
		c.mu.Unlock()
		return
	}
	c.dropLostParts()
	c.shareAmong(now)
	mute := c.listen(ctx, now)
	registration := c.registration()
	c.noteNodesUp(now)
	tending := c.sortParts(now, mute)
	c.mu.Unlock()
	if registration != nil {
		if _, _, err := c.commit(ctx, "node", registration, store.Hold); errors.Is(err, store.ErrNoLease) {
			return
		}
	}
	for _, p := range tending.give {
		c.handBack(ctx, p)
	}
	for _, p := range tending.take {
		c.acquire(ctx, p, tending.seen[p])
	}
}

// dropLostParts forgets the parts that the replica shows as somebody else's. Call with the
// lock held.
func (c *Controller) dropLostParts() {
	for p, o := range c.mine {
		v, ok := c.replica.owns[p]
		ours := ok && v.v.Incarnation == c.incarnation && v.v.Node == c.cfg.HostName
		if !ours && (!ok || v.stamp > o.stamp) {
			c.log.Info("part lost", "part", p, "term", o.term)
			c.dropPart(p)
		}
	}
}

// registration gives the transaction that has this node's record tell what is so now; nil
// if it does. Call with the lock held.
func (c *Controller) registration() *txn {
	me := c.cfg.HostName
	n, self := c.replica.nodes[me].v, c.nodeRecord()
	mark := c.replica.marks[me].v
	marked := mark != nil && mark.V >= forms && slices.Equal(mark.Features, self.Features)
	if marked && n != nil && n.Incarnation == c.incarnation && n.Mute == self.Mute && n.Hear == self.Hear {
		return nil
	}
	t := newTxn()
	t.write(nodeKey+me, self)
	t.permit[nodeKey+me] = c.lease
	if !marked {
		t.write(markKey+me, shard.Mark{V: forms, Features: self.Features})
	}
	return t
}

// noteNodesUp notes since when each node lives and is reached by workers. Call with the
// lock held.
func (c *Controller) noteNodesUp(now time.Time) {
	for _, x := range c.parts {
		if !c.listens(x) {
			delete(c.homeUp, x)
		} else if _, ok := c.homeUp[x]; !ok {
			c.homeUp[x] = now
		}
	}
}

// partTending is what is to be done with parts.
type partTending struct {
	take, give []string
	seen       map[string]uint64 // versions of the owners' keys that this rests on
}

// sortParts tells which parts this node takes now and which it hands to others. Call with
// the lock held.
func (c *Controller) sortParts(now time.Time, mute bool) partTending {
	x := partTending{seen: map[string]uint64{}}
	for _, p := range c.parts {
		v, owned := c.replica.owns[p]
		x.seen[p] = v.stamp
		if owned {
			delete(c.absent, p)
			if c.retakes(p, v.v, mute) {
				x.take = append(x.take, p)
			} else if c.gives(p, now, mute) {
				x.give = append(x.give, p)
			}
			continue
		}
		if _, ok := c.absent[p]; !ok {
			c.absent[p] = now
		}
		if !mute && now.Sub(c.absent[p]) >= c.turn(p) {
			x.take = append(x.take, p)
		}
	}
	return x
}

// retakes tells whether this node takes a part anew that has an owner. Call with the lock
// held.
func (c *Controller) retakes(p string, owner *shard.Ownership, mute bool) bool {
	o := c.mine[p]
	if owner.Node == c.cfg.HostName && (owner.Incarnation != c.incarnation || o == nil) && !mute {
		// Our own earlier life, which is over, or a take whose answer was
		// lost: the key is ours and nobody else would ever act on it.
		return true
	}
	return o != nil && o.bump
}

// gives tells whether this node hands a part to others: all if no worker reaches it, one
// whose release is in doubt again until it shows, and a peer's own when that peer has been
// up for a while. Call with the lock held.
func (c *Controller) gives(p string, now time.Time, mute bool) bool {
	o := c.mine[p]
	switch {
	case o == nil:
		return false
	case mute, o.leaving:
		return true
	case p == c.cfg.HostName:
		return false
	}
	up, ok := c.homeUp[p]
	return ok && now.Sub(up) > c.cfg.HoldTTL()/2 && !c.backward(p)
}

// shareAmong divides the state service's rates among the controllers that live: one
// that is left alone has all of them. One that is not there counts until it has been
// away for a hold's time: at the start, and when all come back, none has registered
// yet, and to take all for oneself would have the others refused. Call with the lock
// held.
func (c *Controller) shareAmong(now time.Time) {
	n := 0
	for _, x := range c.parts {
		if x == c.cfg.HostName || c.replica.nodes[x].v != nil {
			delete(c.away, x)
		} else if _, ok := c.away[x]; !ok {
			c.away[x] = now
		}
		if since, ok := c.away[x]; !ok || now.Sub(since) < c.cfg.HoldTTL() {
			n++
		}
	}
	if n != c.sharers {
		c.log.Info("rates shared", "controllers", n, "before", c.sharers)
		c.sharers = n
		c.store.Among(n)
	}
}

// turn is how long this node waits before it takes a part without an owner: the
// home controller goes first, then the others that live, in a ring order that
// spreads several parts over several nodes. Call with the lock held.
func (c *Controller) turn(p string) time.Duration {
	if p == c.cfg.HostName {
		return 0
	}
	wait := time.Duration(0)
	step := c.cfg.HoldTTL() / 8
	if c.listens(p) || c.replica.parts[p].v == nil {
		wait = 8 * step // it lives, or is only now being started, and should come for it
	}
	start := 0
	for i, x := range c.parts {
		if x == p {
			start = i
		}
	}
	for k := 1; k < len(c.parts); k++ {
		x := c.parts[(start+k)%len(c.parts)]
		if x == c.cfg.HostName {
			break
		}
		if c.listens(x) {
			wait += step
		}
	}
	return wait
}
