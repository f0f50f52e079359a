package scaling

import (
	"context"

	"violetturn/internal/sched"
	"violetturn/internal/state"
)

// scaleIn fences workers that have not heard of this leader, and returns machines that are not
// needed. A return that fails is decided anew in the next round.
func (l *Loop) scaleIn(ctx context.Context) {
	state := l.guard.Lock()
	decided := state.Autoscaler.ScaleIn(l.node.Now())
	l.guard.Unlock()
	l.commands.SendAll(ctx, decided.Fences)
	if len(decided.Return) == 0 {
		return
	}
	if err := l.services.Cloud.Return(ctx, decided.Return); err != nil {
		l.node.Log.Info("machines not returned", "hosts", decided.Return, "err", err)
		return
	}
	state = l.guard.Lock()
	noteReturned(state, decided.Return)
	l.guard.Unlock()
	l.node.Log.Info("machines returned", "hosts", decided.Return)
	l.wake.Notify()
}

// noteReturned notes machines that the cloud has taken back: they are terminated, and offers like
// them that were refused may be had again.
func noteReturned(s *state.State, hosts []string) {
	for _, host := range hosts {
		s.Agents.MarkTerminated(host)
		if m := s.Cache.Machines[host]; m != nil {
			s.Catalog.ClearBackoff(&sched.Offer{MachineType: m.MachineType, Zone: m.Zone, Spot: m.Spot})
		}
	}
}
