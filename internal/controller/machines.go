package controller

import (
	"context"
	"maps"
	"slices"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// recordStrangers records machines that reported or were rented or listed
// without a record, each in one part, by conditional writes of their pages.
func (c *Controller) recordStrangers(ctx context.Context) bool {
	c.mu.Lock()
	if len(c.adopt) == 0 {
		c.mu.Unlock()
		return false
	}
	t := newTxn()
	pages := map[string]shard.Page{}
	var names []string
	size := 0 // bytes of the pages
	count := map[string]int{}
	for _, m := range c.replica.hosts {
		count[m.Part]++
	}
	for _, host := range slices.Sorted(maps.Keys(c.adopt)) {
		m := c.adopt[host]
		if c.replica.hosts[host] != nil || c.replica.gone[host] {
			delete(c.adopt, host)
			continue
		}
		id := c.pageFor(host)
		page, open := pages[id]
		if !open {
			if len(pages) >= c.most() || size > 48<<10-int(c.cfg.Facts.State.ValueKB*1024) {
				break
			}
			_, page = c.openPage(t, host)
		}
		m.Part = c.partFor(m.Zone, count)
		m.AtMS = c.now().UnixMilli()
		page[host] = &m
		bytes := len(api.JSON(page))
		if bytes > c.pageRoom() {
			c.log.Error("machine can't be recorded", "host", host, "why", "its page is full", "bytes", bytes)
			delete(page, host)
			delete(c.adopt, host)
			continue
		}
		if !open {
			size += bytes
		}
		pages[id] = page
		count[m.Part]++
		names = append(names, host)
	}
	for id, page := range pages {
		t.write(pageKey+id, page)
	}
	c.mu.Unlock()
	if len(names) == 0 {
		return false
	}
	done, _, err := c.commit(ctx, "machines", t, store.Decision)
	c.mu.Lock()
	defer c.mu.Unlock()
	if done {
		c.log.Info("machines recorded", "hosts", names)
		for _, h := range names {
			delete(c.adopt, h)
		}
	}
	return (done || err == nil) && len(c.adopt) > 0
}

// partFor chooses the part for a machine: one whose home controller is in the
// machine's zone, so that a zone cut off keeps its owner; of those the smallest.
func (c *Controller) partFor(site string, count map[string]int) string {
	zone := map[string]string{c.cfg.HostName: c.cfg.Site}
	for _, m := range c.cfg.Members {
		zone[m.HostName] = m.Site
	}
	best, bestN := "", 0
	for _, p := range c.parts {
		n := count[p]
		if zone[p] != site {
			n += 1 << 20
		}
		if best == "" || n < bestN {
			best, bestN = p, n
		}
	}
	return best
}

// forgetRound drops machines that are gone and empty from their pages: several
// at once, now and then, since nothing waits for it.
func (c *Controller) forgetRound(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	if now.Sub(c.forgotAt) < c.cfg.Lease()/4 {
		c.mu.Unlock()
		return false
	}
	t := newTxn()
	pages := map[string]shard.Page{}
	size := 0 // bytes of the pages
	var names []string
	for host, s := range c.sessions {
		m := c.replica.hosts[host]
		if !s.Gone || m == nil || c.owned(m.Part) == nil || len(c.replica.onHost[host]) > 0 {
			continue
		}
		if _, in := c.replica.parts[m.Part].v.Free[host]; in {
			continue // upkeep comes first: no thief may still put a task there
		}
		id := c.pageFor(host)
		page, open := pages[id]
		if !open {
			if len(pages) >= c.most() || size > 48<<10-int(c.cfg.Facts.State.ValueKB*1024) {
				continue
			}
			_, page = c.openPage(t, host)
			size += len(api.JSON(page))
			pages[id] = page
		}
		c.guardOwn(t, m.Part)
		t.guard(partKey+m.Part, c.replica.parts[m.Part].stamp)
		delete(page, host)
		names = append(names, host)
	}
	for id, page := range pages {
		c.closePage(t, id, page)
	}
	if len(names) == 0 && c.upgraded() && c.outdated(t) {
		c.forgotAt = now
	}
	c.mu.Unlock()
	if t.ops() == 0 {
		return false
	}
	done, _, _ := c.commit(ctx, "forgotten", t, store.Decision)
	if done {
		slices.Sort(names)
		c.mu.Lock()
		c.forgotAt = now
		for _, h := range names {
			c.forget(h)
		}
		c.mu.Unlock()
		c.log.Info("machines forgotten", "hosts", names)
	}
	return false
}
