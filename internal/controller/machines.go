package controller

import (
	"context"
	"maps"
	"slices"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// registerMachines records machines that reported or were rented or listed
// without a record, each in one shard, by conditional writes of their pages.
func (c *Controller) registerMachines(ctx context.Context) bool {
	c.mu.Lock()
	if len(c.unregistered) == 0 {
		c.mu.Unlock()
		return false
	}
	t := newTransaction()
	pages := map[string]shard.Page{}
	var names []string
	size := 0 // bytes of the pages
	count := map[string]int{}
	for _, m := range c.replica.machines {
		count[m.Shard]++
	}
	for _, host := range slices.Sorted(maps.Keys(c.unregistered)) {
		m := c.unregistered[host]
		if c.replica.machines[host] != nil || c.replica.terminated[host] {
			delete(c.unregistered, host)
			continue
		}
		id := c.pageFor(host)
		page, open := pages[id]
		if !open {
			if len(pages) >= c.maxChanges() || size > 48<<10-int(c.cfg.Facts.State.ValueKB*1024) {
				break
			}
			_, page = c.openPage(t, host)
		}
		m.Shard = c.shardFor(m.Zone, count)
		m.RegisteredMS = c.now().UnixMilli()
		page[host] = &m
		bytes := len(api.JSON(page))
		if bytes > c.maxPageBytes() {
			c.log.Error("machine not registered", "host", host, "why", "its page is full", "bytes", bytes)
			delete(page, host)
			delete(c.unregistered, host)
			continue
		}
		if !open {
			size += bytes
		}
		pages[id] = page
		count[m.Shard]++
		names = append(names, host)
	}
	for id, page := range pages {
		t.put(machinePagePrefix+id, page)
	}
	c.mu.Unlock()
	if len(names) == 0 {
		return false
	}
	done, _, err := c.commit(ctx, "machines", t, store.PriorityDecision)
	c.mu.Lock()
	defer c.mu.Unlock()
	if done {
		c.log.Info("machines registered", "hosts", names)
		for _, h := range names {
			delete(c.unregistered, h)
		}
	}
	return (done || err == nil) && len(c.unregistered) > 0
}

// shardFor chooses the shard for a machine: one whose home controller is in the
// machine's zone, so that a zone cut off keeps its leader; of those the smallest.
func (c *Controller) shardFor(site string, count map[string]int) string {
	zone := map[string]string{c.cfg.HostName: c.cfg.Zone}
	for _, m := range c.cfg.Members {
		zone[m.HostName] = m.Zone
	}
	best, bestN := "", 0
	for _, p := range c.shards {
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

// deregisterMachines drops machines that are gone and empty from their pages: several
// at once, now and then, since nothing waits for it.
func (c *Controller) deregisterMachines(ctx context.Context) bool {
	now := c.now()
	c.mu.Lock()
	if now.Sub(c.deregisteredAt) < c.cfg.WorkerLease()/4 {
		c.mu.Unlock()
		return false
	}
	t := newTransaction()
	pages := map[string]shard.Page{}
	size := 0 // bytes of the pages
	var names []string
	for host, s := range c.agents {
		m := c.replica.machines[host]
		if !s.Terminated || m == nil || c.leadershipOf(m.Shard) == nil || len(c.replica.placements[host]) > 0 {
			continue
		}
		if _, in := c.replica.capacities[m.Shard].record.Free[host]; in {
			continue // upkeep comes first: no stealing peer may still put a task there
		}
		id := c.pageFor(host)
		page, open := pages[id]
		if !open {
			if len(pages) >= c.maxChanges() || size > 48<<10-int(c.cfg.Facts.State.ValueKB*1024) {
				continue
			}
			_, page = c.openPage(t, host)
			size += len(api.JSON(page))
			pages[id] = page
		}
		c.requireLeadership(t, m.Shard)
		t.require(capacityPrefix+m.Shard, c.replica.capacities[m.Shard].version)
		delete(page, host)
		names = append(names, host)
	}
	for id, page := range pages {
		c.closePage(t, id, page)
	}
	if len(names) == 0 && c.schemaUpgraded() && c.deleteObsoletePage(t) {
		c.deregisteredAt = now
	}
	c.mu.Unlock()
	if t.changes() == 0 {
		return false
	}
	done, _, _ := c.commit(ctx, "forgotten", t, store.PriorityDecision)
	if done {
		slices.Sort(names)
		c.mu.Lock()
		c.deregisteredAt = now
		for _, h := range names {
			c.dropAgent(h)
		}
		c.mu.Unlock()
		c.log.Info("machines deregistered", "hosts", names)
	}
	return false
}
