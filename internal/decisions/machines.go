package decisions

import (
	"context"
	"maps"
	"slices"

	"violetturn/internal/api"
	"violetturn/internal/shard"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// RegisterMachines records machines that reported or were rented or listed
// without a record, each in one shard, by conditional writes of their pages.
func (d *Loop) RegisterMachines(ctx context.Context) bool {
	state := d.guard.Lock()
	if len(state.Agents.Unregistered) == 0 {
		d.guard.Unlock()
		return false
	}
	t := statecache.NewTransaction()
	pages := map[string]shard.Page{}
	var names []string
	size := 0 // bytes of the pages
	count := map[string]int{}
	for _, m := range state.Cache.Machines {
		count[m.Shard]++
	}
	for _, host := range slices.Sorted(maps.Keys(state.Agents.Unregistered)) {
		m := state.Agents.Unregistered[host]
		if state.Cache.Machines[host] != nil || state.Cache.Terminated[host] {
			delete(state.Agents.Unregistered, host)
			continue
		}
		id := state.Schema.PageFor(host)
		page, open := pages[id]
		if !open {
			if len(pages) >= state.Schema.MaxChanges() || size > 48<<10-int(d.node.Settings.Facts.State.ValueKB*1024) {
				break
			}
			_, page = state.Schema.OpenPage(t, host)
		}
		m.Shard = d.shardFor(m.Zone, count)
		m.RegisteredMS = d.node.Now().UnixMilli()
		page[host] = &m
		bytes := len(api.JSON(page))
		if bytes > state.Schema.MaxPageBytes() {
			d.node.Log.Error("machine not registered", "host", host, "why", "its page is full", "bytes", bytes)
			delete(page, host)
			delete(state.Agents.Unregistered, host)
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
		t.Put(statecache.MachinePageKey(id), page)
	}
	d.guard.Unlock()
	if len(names) == 0 {
		return false
	}
	done, _, err := d.sync.Commit(ctx, "machines", t, store.PriorityDecision)
	state = d.guard.Lock()
	defer d.guard.Unlock()
	if done {
		d.node.Log.Info("machines registered", "hosts", names)
		for _, h := range names {
			delete(state.Agents.Unregistered, h)
		}
	}
	return (done || err == nil) && len(state.Agents.Unregistered) > 0
}

// shardFor chooses the shard for a machine: one whose home controller is in the
// machine's zone, so that a zone cut off keeps its leader; of those the smallest.
func (d *Loop) shardFor(site string, count map[string]int) string {
	zone := map[string]string{d.node.Settings.HostName: d.node.Settings.Zone}
	for _, m := range d.node.Settings.Members {
		zone[m.HostName] = m.Zone
	}
	best, bestN := "", 0
	for _, p := range d.node.Shards {
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
func (d *Loop) deregisterMachines(ctx context.Context) bool {
	now := d.node.Now()
	state := d.guard.Lock()
	if now.Sub(state.Stats.DeregisteredAt) < d.node.Settings.WorkerLease()/4 {
		d.guard.Unlock()
		return false
	}
	t := statecache.NewTransaction()
	pages := map[string]shard.Page{}
	size := 0 // bytes of the pages
	var names []string
	for host, s := range state.Agents.ByHost {
		m := state.Cache.Machines[host]
		if !s.Terminated || m == nil || !state.Leadership.Leads(m.Shard) || len(state.Cache.Placements[host]) > 0 {
			continue
		}
		if _, in := state.Cache.Capacities[m.Shard].Record.Free[host]; in {
			continue // upkeep comes first: no stealing peer may still put a task there
		}
		id := state.Schema.PageFor(host)
		page, open := pages[id]
		if !open {
			if len(pages) >= state.Schema.MaxChanges() || size > 48<<10-int(d.node.Settings.Facts.State.ValueKB*1024) {
				continue
			}
			_, page = state.Schema.OpenPage(t, host)
			size += len(api.JSON(page))
			pages[id] = page
		}
		state.Leadership.Require(t, m.Shard)
		t.Require(statecache.CapacityKey(m.Shard), state.Cache.Capacities[m.Shard].Version)
		delete(page, host)
		names = append(names, host)
	}
	for id, page := range pages {
		state.Schema.ClosePage(t, id, page)
	}
	if len(names) == 0 && state.Schema.Upgraded() && state.Schema.DeleteObsoletePage(t) {
		state.Stats.DeregisteredAt = now
	}
	d.guard.Unlock()
	if t.Changes() == 0 {
		return false
	}
	done, _, _ := d.sync.Commit(ctx, "forgotten", t, store.PriorityDecision)
	if done {
		slices.Sort(names)
		state = d.guard.Lock()
		state.Stats.DeregisteredAt = now
		for _, h := range names {
			state.Agents.Drop(h)
		}
		d.guard.Unlock()
		d.node.Log.Info("machines deregistered", "hosts", names)
	}
	return false
}
