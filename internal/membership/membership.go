package membership

import (
	"context"

	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/peer"
	"violetturn/internal/state"
	"violetturn/internal/timing"
)

// Membership asks peers what they see of the state service and what they have done.
type Membership struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
}

func New(info *node.Info, guard *state.Guard, services *external.Services) *Membership {
	return &Membership{node: info, guard: guard, services: services}
}

// PeerLoop asks the peers for their sight of the state service while ours is
// gone.
func (pm *Membership) PeerLoop(ctx context.Context) {
	for timing.Sleep(ctx, pm.node.Settings.ControllerLeaseTTL()/8) {
		state := pm.guard.Lock()
		lost := !state.Reachability.StoreReachable
		pm.guard.Unlock()
		if !lost {
			continue
		}
		pm.AskPeers(ctx)
	}
}

// AskPeers asks every peer whether it reaches the state service, and what it has done
// that this node can't see meanwhile.
func (pm *Membership) AskPeers(ctx context.Context) {
	for _, m := range pm.node.Settings.Members {
		pm.askPeer(ctx, m.HostName, m.Addr)
	}
	state := pm.guard.Lock()
	state.Reachability.PeersAsked = !state.Reachability.StoreReachable
	pm.guard.Unlock()
}

// ForwardingPeer names a peer that can serve users for us while we can't reach the
// state service; "" when we can, or nobody else can.
func (pm *Membership) ForwardingPeer() string {
	state := pm.guard.Lock()
	defer pm.guard.Unlock()
	if state.Reachability.StoreReachable {
		return ""
	}
	for _, m := range pm.node.Settings.Members {
		if state.Reachability.Peers[m.HostName] {
			return m.Addr
		}
	}
	return ""
}

// canServe reports whether this node can serve users of its own and of peers.
func (pm *Membership) canServe() bool {
	state := pm.guard.Lock()
	defer pm.guard.Unlock()
	return state.Cache.Loaded && state.Reachability.StoreReachable
}

// ServesForPeer reports whether a peer's request is to be carried out: it asks for more
// than our sight of the state service, and we can.
func (pm *Membership) ServesForPeer(r *peer.Request) bool {
	k := r.GetKind()
	return k != peer.Request_KIND_HEALTH && k != peer.Request_KIND_ACKNOWLEDGE && pm.canServe()
}

// PeerStatus answers a peer what this node sees of the state service and, if asked, what
// it has done.
func (pm *Membership) PeerStatus(r *peer.Request) *peer.Reply {
	a := &peer.Reply{StoreReached: pm.canServe()}
	if r.GetKind() == peer.Request_KIND_ACKNOWLEDGE {
		state := pm.guard.Lock()
		a.Acknowledgement = state.Leadership.Acknowledgement(r.GetSince())
		pm.guard.Unlock()
	}
	return a
}

// askPeer asks one peer what it sees of the state service and what it has done.
func (pm *Membership) askPeer(ctx context.Context, name, addr string) {
	state := pm.guard.Lock()
	since, sent := state.Cache.Revision, pm.node.Now()
	pm.guard.Unlock()
	r, err := pm.services.Peers.Ask(
		ctx,
		addr,
		&peer.Request{Kind: peer.Request_KIND_ACKNOWLEDGE, From: pm.node.Settings.HostName, Since: since},
		pm.node.Settings.ControllerLeaseTTL()/4,
	)
	state = pm.guard.Lock()
	defer pm.guard.Unlock()
	if err != nil {
		delete(state.Reachability.Peers, name)
		return
	}
	state.Reachability.Peers[name] = r.GetStoreReached()
	state.Leadership.NoteAcknowledgement(name, r.GetAcknowledgement(), sent)
}
