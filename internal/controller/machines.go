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
	state := c.guard.Lock()
	if len(state.agents.unregistered) == 0 {
		c.guard.Unlock()
		return false
	}
	t := newTransaction()
	pages := map[string]shard.Page{}
	var names []string
	size := 0 // bytes of the pages
	count := map[string]int{}
	for _, m := range state.cache.machines {
		count[m.Shard]++
	}
	for _, host := range slices.Sorted(maps.Keys(state.agents.unregistered)) {
		m := state.agents.unregistered[host]
		if state.cache.machines[host] != nil || state.cache.terminated[host] {
			delete(state.agents.unregistered, host)
			continue
		}
		id := state.schema.pageFor(host)
		page, open := pages[id]
		if !open {
			if len(pages) >= state.schema.maxChanges() || size > 48<<10-int(c.node.settings.Facts.State.ValueKB*1024) {
				break
			}
			_, page = state.schema.openPage(t, host)
		}
		m.Shard = c.shardFor(m.Zone, count)
		m.RegisteredMS = c.node.now().UnixMilli()
		page[host] = &m
		bytes := len(api.JSON(page))
		if bytes > state.schema.maxPageBytes() {
			c.node.log.Error("machine not registered", "host", host, "why", "its page is full", "bytes", bytes)
			delete(page, host)
			delete(state.agents.unregistered, host)
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
	c.guard.Unlock()
	if len(names) == 0 {
		return false
	}
	done, _, err := c.commit(ctx, "machines", t, store.PriorityDecision)
	state = c.guard.Lock()
	defer c.guard.Unlock()
	if done {
		c.node.log.Info("machines registered", "hosts", names)
		for _, h := range names {
			delete(state.agents.unregistered, h)
		}
	}
	return (done || err == nil) && len(state.agents.unregistered) > 0
}

// shardFor chooses the shard for a machine: one whose home controller is in the
// machine's zone, so that a zone cut off keeps its leader; of those the smallest.
func (c *Controller) shardFor(site string, count map[string]int) string {
	zone := map[string]string{c.node.settings.HostName: c.node.settings.Zone}
	for _, m := range c.node.settings.Members {
		zone[m.HostName] = m.Zone
	}
	best, bestN := "", 0
	for _, p := range c.node.shards {
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
	now := c.node.now()
	state := c.guard.Lock()
	if now.Sub(state.stats.deregisteredAt) < c.node.settings.WorkerLease()/4 {
		c.guard.Unlock()
		return false
	}
	t := newTransaction()
	pages := map[string]shard.Page{}
	size := 0 // bytes of the pages
	var names []string
	for host, s := range state.agents.byHost {
		m := state.cache.machines[host]
		if !s.Terminated || m == nil || state.leadership.of(m.Shard) == nil || len(state.cache.placements[host]) > 0 {
			continue
		}
		if _, in := state.cache.capacities[m.Shard].record.Free[host]; in {
			continue // upkeep comes first: no stealing peer may still put a task there
		}
		id := state.schema.pageFor(host)
		page, open := pages[id]
		if !open {
			if len(pages) >= state.schema.maxChanges() || size > 48<<10-int(c.node.settings.Facts.State.ValueKB*1024) {
				continue
			}
			_, page = state.schema.openPage(t, host)
			size += len(api.JSON(page))
			pages[id] = page
		}
		state.leadership.require(t, m.Shard)
		t.require(capacityPrefix+m.Shard, state.cache.capacities[m.Shard].version)
		delete(page, host)
		names = append(names, host)
	}
	for id, page := range pages {
		state.schema.closePage(t, id, page)
	}
	if len(names) == 0 && state.schema.upgraded() && state.schema.deleteObsoletePage(t) {
		state.stats.deregisteredAt = now
	}
	c.guard.Unlock()
	if t.changes() == 0 {
		return false
	}
	done, _, _ := c.commit(ctx, "forgotten", t, store.PriorityDecision)
	if done {
		slices.Sort(names)
		state = c.guard.Lock()
		state.stats.deregisteredAt = now
		for _, h := range names {
			state.agents.drop(h)
		}
		c.guard.Unlock()
		c.node.log.Info("machines deregistered", "hosts", names)
	}
	return false
}
