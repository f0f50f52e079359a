package agent

import (
	"time"

	"violetturn/internal/cloud"
	"violetturn/internal/shard"
)

// NoteMachineList takes in the cloud's list. It is late and may be older than the last
// one, so it only raises questions; a return answers them.
// Its first page was read at the time began.
func (reg *Registry) NoteMachineList(l []cloud.Host, began time.Time, seen map[string]time.Time, lag time.Duration) {
	now := reg.node.Now()
	in := map[string]bool{}
	reg.Provisioning = map[string]bool{}
	for _, h := range l {
		in[h.UID] = h.Phase != cloud.MachineFailed
		if h.Phase == cloud.MachineStarting {
			reg.Provisioning[h.UID] = true
		}
		m := reg.cache.Machines[h.UID]
		if m == nil {
			// Perhaps just rented by a peer, or just returned and still listed.
			if first, ok := seen[h.UID]; !ok {
				seen[h.UID] = now
			} else if now.Sub(first) > 4*lag && h.Phase != cloud.MachineFailed {
				reg.NoteUnregistered(h.UID, shard.Machine{MachineType: h.MachineType, Zone: h.Zone, Spot: h.Spot, Addr: h.Addr})
			}
			continue
		}
		delete(seen, h.UID)
		if m.Addr == "" {
			m.Addr = h.Addr
		}
		if o := reg.leadership.InForce(m.Shard); o != nil {
			s := reg.Of(h.UID, o)
			s.MissingFromLists = 0
			if h.Phase == cloud.MachineFailed && !s.Cordoned {
				reg.node.Log.Info("machine failed", "host", h.UID)
				s.Cordoned, s.MissingFromLists = true, 2
			}
		}
	}
	reg.ListedByCloud = in
	for h := range seen {
		if _, ok := in[h]; !ok {
			delete(seen, h)
		}
	}
	for host, s := range reg.ByHost {
		// One that is listed stays so until it is gone, and a new one is listed
		// after some time: what a late copy had recorded never is.
		m := reg.cache.Machines[host]
		if _, ok := in[host]; !ok && m != nil && began.Sub(time.UnixMilli(m.RegisteredMS)) > 4*lag+reg.node.Settings.HeartbeatInterval() {
			s.MissingFromLists++
		}
	}
}
