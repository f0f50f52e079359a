package scaling

import (
	"context"

	"violetturn/internal/sched"
	"violetturn/internal/state"
)

// scaleIn fences workers that have not shown this leader's term, and returns machines that are not
// needed. If a return fails, the next run decides again which machines to return.
func (l *Loop) scaleIn(ctx context.Context) {
	state := l.guard.Lock()
	decision := state.Autoscaler.ScaleIn(l.node.Now())
	l.guard.Unlock()
	l.commands.SendAll(ctx, decision.Fences)
	if len(decision.HostsToReturn) == 0 {
		return
	}
	if err := l.services.Cloud.Return(ctx, decision.HostsToReturn); err != nil {
		l.node.Log.Info("machines not returned", "hosts", decision.HostsToReturn, "err", err)
		return
	}
	state = l.guard.Lock()
	recordReturned(state, decision.HostsToReturn)
	l.guard.Unlock()
	l.node.Log.Info("machines returned", "hosts", decision.HostsToReturn)
	l.wake.Notify()
}

// recordReturned marks returned machines as terminated, and makes refused offers like them
// available again.
func recordReturned(s *state.State, hosts []string) {
	for _, host := range hosts {
		s.Agents.MarkTerminated(host)
		if machine := s.Cache.Machines[host]; machine != nil {
			s.Catalog.ClearBackoff(&sched.Offer{MachineType: machine.MachineType, Zone: machine.Zone, Spot: machine.Spot})
		}
	}
}
