package decisions

import (
	"context"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/node"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
)

// registrationsPlan is machines to be registered.
type registrationsPlan struct {
	transaction *statecache.Transaction
	hosts       []string
	refused     []refusedMachine
}

// refusedMachine is a machine that can't be registered.
type refusedMachine struct {
	host      string
	pageBytes int // that its page would have
}

// RegisterMachines records machines that sent heartbeats or were rented or listed
// without a record, each in one shard, by conditional writes of their pages.
func (l *Loop) RegisterMachines(ctx context.Context) (more bool) {
	state := l.guard.Lock()
	if state.Agents.Unregistered().Count() == 0 {
		l.guard.Unlock()
		return false
	}
	plan := planRegistrations(state, l.node, l.node.Now())
	l.guard.Unlock()
	for _, m := range plan.refused {
		l.node.Log.Error("machine not registered", "host", m.host, "why", "its page is full", "bytes", m.pageBytes)
	}
	if len(plan.hosts) == 0 {
		return false
	}
	result := l.commit(ctx, forRegistrations, plan.transaction, store.PriorityDecision)
	state = l.guard.Lock()
	defer l.guard.Unlock()
	if result == committed {
		l.node.Log.Info("machines registered", "hosts", plan.hosts)
		for _, host := range plan.hosts {
			state.Agents.Unregistered().Remove(host)
		}
	}
	return result.settled() && state.Agents.Unregistered().Count() > 0
}

// planRegistrations puts machines without a record into pages, as many as a transaction takes.
// Those that need no record or can't have one are not tried again.
func planRegistrations(s *state.State, info *node.Info, now time.Time) registrationsPlan {
	edits := newPageEdits(s, info)
	plan := registrationsPlan{transaction: edits.transaction}
	machines := map[string]int{}
	for _, m := range s.Cache.Machines {
		machines[m.Shard]++
	}
	for _, host := range s.Agents.Unregistered().Names() {
		m := s.Agents.Unregistered().Machine(host)
		if s.Cache.Machines[host] != nil || s.Cache.Terminated[host] {
			s.Agents.Unregistered().Remove(host)
			continue
		}
		page, ok := edits.page(host)
		if !ok {
			break
		}
		m.Shard = shardFor(info, m.Zone, machines)
		m.RegisteredMS = now.UnixMilli()
		page[host] = &m
		if bytes := len(api.JSON(page)); bytes > s.Schema.MaxPageBytes() {
			plan.refused = append(plan.refused, refusedMachine{host: host, pageBytes: bytes})
			delete(page, host)
			s.Agents.Unregistered().Remove(host)
			continue
		}
		edits.keep(host, page)
		machines[m.Shard]++
		plan.hosts = append(plan.hosts, host)
	}
	for id, page := range edits.pages {
		edits.transaction.Put(statecache.MachinePageKey(id), page)
	}
	return plan
}

// otherZonePenalty is how many more machines a shard seems to have whose home controller is in
// another zone than the machine: more than any fleet has.
const otherZonePenalty = 1 << 20

// shardFor chooses the shard for a machine: one whose home controller is in the
// machine's zone, so that a zone cut off keeps its leader; of those the one with fewest machines.
func shardFor(info *node.Info, machineZone string, machines map[string]int) string {
	zones := map[string]string{info.Settings.HostName: info.Settings.Zone}
	for _, m := range info.Settings.Members {
		zones[m.HostName] = m.Zone
	}
	best, bestCount := "", 0
	for _, shard := range info.Shards {
		count := machines[shard]
		if zones[shard] != machineZone {
			count += otherZonePenalty
		}
		if best == "" || count < bestCount {
			best, bestCount = shard, count
		}
	}
	return best
}
