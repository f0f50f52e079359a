package decisions

import (
	"context"
	"slices"
	"time"

	"violetturn/internal/node"
	"violetturn/internal/shard"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// deregistrationsPlan is machines to be deregistered.
type deregistrationsPlan struct {
	transaction *statecache.Transaction // without changes: there is nothing to commit
	hosts       []string
}

// deregisterMachines drops machines that are terminated and empty from their pages: several
// at once, now and then, since nothing waits for it.
func (l *Loop) deregisterMachines(ctx context.Context) (more bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	if now.Sub(state.Stats.DeregisteredAt) < l.node.Settings.WorkerLease()/4 {
		l.guard.Unlock()
		return false
	}
	plan := planDeregistrations(state, l.node, now)
	l.guard.Unlock()
	if plan.transaction.Changes() == 0 {
		return false
	}
	if l.commit(ctx, forDeregistrations, plan.transaction, store.PriorityDecision) != committed {
		return false
	}
	slices.Sort(plan.hosts)
	state = l.guard.Lock()
	state.Stats.DeregisteredAt = now
	for _, host := range plan.hosts {
		state.Agents.Drop(host)
	}
	l.guard.Unlock()
	l.node.Log.Info("machines deregistered", "hosts", plan.hosts)
	return false
}

// planDeregistrations drops machines from their pages, as many as a transaction takes. If there
// are none, it drops a page that says nothing more.
func planDeregistrations(s *state.State, info *node.Info, now time.Time) deregistrationsPlan {
	edits := newPageEdits(s, info)
	plan := deregistrationsPlan{transaction: edits.transaction}
	for host, contact := range s.Agents.All() {
		m := s.Cache.Machines[host]
		if !contact.Terminated || m == nil || !mayDeregister(s, host, m) {
			continue
		}
		page, ok := edits.page(host)
		if !ok {
			continue
		}
		edits.keep(host, page)
		s.Leadership.RequireLeadership(edits.transaction, m.Shard)
		edits.transaction.Require(statecache.CapacityKey(m.Shard), s.Cache.Capacities[m.Shard].Version)
		delete(page, host)
		plan.hosts = append(plan.hosts, host)
	}
	for id, page := range edits.pages {
		s.Schema.PutPage(edits.transaction, id, page)
	}
	if len(plan.hosts) == 0 && s.Schema.AllUpgraded() && s.Schema.DeleteObsoletePage(edits.transaction) {
		s.Stats.DeregisteredAt = now
	}
	return plan
}

// mayDeregister reports whether a terminated machine of an own shard is empty and not offered in
// the shard's capacity record any more: no peer may still place a task there.
func mayDeregister(s *state.State, host string, m *shard.Machine) bool {
	if !s.Leadership.Leads(m.Shard) || len(s.Cache.Placements[host]) > 0 {
		return false
	}
	_, offered := s.Cache.Capacities[m.Shard].Record.Free[host]
	return !offered
}
