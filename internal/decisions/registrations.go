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

// registrationsPlan is a planned transaction that registers machines.
type registrationsPlan struct {
	transaction *statecache.Transaction
	hosts       []string
	refused     []refusedMachine
}

// refusedMachine is a machine that can't be registered because its page is full.
type refusedMachine struct {
	host      string
	pageBytes int // size of its page with the machine
}

// RegisterMachines creates records of machines that sent heartbeats, were rented or were listed by
// the cloud, and have no record yet. Each machine belongs to one shard. The pages are written
// conditionally.
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
	result := l.commit(ctx, purposeRegistrations, plan.transaction, store.PriorityDecision)
	state = l.guard.Lock()
	defer l.guard.Unlock()
	if result == committed {
		l.node.Log.Info("machines registered", "hosts", plan.hosts)
		for _, host := range plan.hosts {
			state.Agents.Unregistered().Remove(host)
		}
	}
	return result.isKnown() && state.Agents.Unregistered().Count() > 0
}

// planRegistrations adds as many unregistered machines to pages as fit into a transaction. It
// removes machines that need no record or can't have one from the list of unregistered machines.
func planRegistrations(s *state.State, info *node.Info, now time.Time) registrationsPlan {
	edits := newPageEdits(s, info)
	plan := registrationsPlan{transaction: edits.transaction}
	machineCounts := map[string]int{}
	for _, m := range s.Cache.Machines {
		machineCounts[m.Shard]++
	}
	for _, host := range s.Agents.Unregistered().Names() {
		m := s.Agents.Unregistered().Machine(host)
		if s.Cache.Machines[host] != nil || s.Cache.Terminated[host] {
			s.Agents.Unregistered().Remove(host)
			continue
		}
		page, ok := edits.openPage(host)
		if !ok {
			break
		}
		m.Shard = chooseShard(info, m.Zone, machineCounts)
		m.RegisteredMS = now.UnixMilli()
		page[host] = &m
		if bytes := len(api.MustMarshal(page)); bytes > s.Schema.MaxPageBytes() {
			plan.refused = append(plan.refused, refusedMachine{host: host, pageBytes: bytes})
			delete(page, host)
			s.Agents.Unregistered().Remove(host)
			continue
		}
		edits.add(host, page)
		machineCounts[m.Shard]++
		plan.hosts = append(plan.hosts, host)
	}
	for id, page := range edits.pages {
		edits.transaction.Put(statecache.MachinePageKey(id), page)
	}
	return plan
}

// otherZonePenalty is added to the number of machines of a shard whose home controller is in
// another zone than the machine to be registered. It is larger than any fleet.
const otherZonePenalty = 1 << 20

// chooseShard chooses the shard of a machine: the one with the fewest machines among those whose
// home controller is in the machine's zone, so that a partitioned zone still has a leader for its
// machines. If there is none in the zone, it is the shard with the fewest machines.
func chooseShard(info *node.Info, machineZone string, machineCounts map[string]int) string {
	zoneByShard := map[string]string{info.Settings.HostName: info.Settings.Zone}
	for _, m := range info.Settings.Members {
		zoneByShard[m.HostName] = m.Zone
	}
	bestShard, bestCount := "", 0
	for _, shard := range info.Shards {
		count := machineCounts[shard]
		if zoneByShard[shard] != machineZone {
			count += otherZonePenalty
		}
		if bestShard == "" || count < bestCount {
			bestShard, bestCount = shard, count
		}
	}
	return bestShard
}
