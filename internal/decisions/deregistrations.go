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

// deregistrationsPlan is a planned transaction that deregisters machines.
type deregistrationsPlan struct {
	transaction *statecache.Transaction // has no writes if there is nothing to commit
	hosts       []string
}

// deregisterMachines removes terminated machines without tasks from their pages. It runs at
// intervals and removes several machines at once, since no other work depends on it.
func (l *Loop) deregisterMachines(ctx context.Context) (more bool) {
	now := l.node.Now()
	state := l.guard.Lock()
	if now.Sub(state.Stats.DeregisteredAt) < l.node.Settings.WorkerLease()/4 {
		l.guard.Unlock()
		return false
	}
	plan := planDeregistrations(state, l.node, now)
	l.guard.Unlock()
	if plan.transaction.Writes() == 0 {
		return false
	}
	if l.commit(ctx, purposeDeregistrations, plan.transaction, store.PriorityDecision) != committed {
		return false
	}
	slices.Sort(plan.hosts)
	state = l.guard.Lock()
	state.Stats.DeregisteredAt = now
	for _, host := range plan.hosts {
		state.Agents.Remove(host)
	}
	l.guard.Unlock()
	l.node.Log.Info("machines deregistered", "hosts", plan.hosts)
	return false
}

// planDeregistrations removes as many machines from their pages as fit into a transaction. If there
// are none, it deletes an obsolete page instead, if there is one.
func planDeregistrations(s *state.State, info *node.Info, now time.Time) deregistrationsPlan {
	edits := newPageEdits(s, info)
	plan := deregistrationsPlan{transaction: edits.transaction}
	for host, worker := range s.Agents.All() {
		m := s.Cache.Machines[host]
		if !worker.Terminated || m == nil || !canDeregister(s, host, m) {
			continue
		}
		page, ok := edits.openPage(host)
		if !ok {
			continue
		}
		edits.add(host, page)
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

// canDeregister reports whether a terminated machine is in a shard that this controller leads, has
// no tasks and is no longer offered in the shard's capacity record. While it is offered, a peer may
// still place a task on it.
func canDeregister(s *state.State, host string, m *shard.Machine) bool {
	if !s.Leadership.Leads(m.Shard) || len(s.Cache.Placements[host]) > 0 {
		return false
	}
	_, offered := s.Cache.Capacities[m.Shard].Record.Free[host]
	return !offered
}
