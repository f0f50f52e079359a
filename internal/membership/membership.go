package membership

import (
	"context"

	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/peer"
	"violetturn/internal/state"
	"violetturn/internal/timing"
)

// Parts of the lease's time.
const (
	askingRoundsPerLease = 8 // rounds of asking the peers while the state service is out of reach
	askDeadlinesPerLease = 4 // waits for one peer's answer
)

// Membership asks the peers what they see of the state service and what they have done, and
// answers the same. What it learns is in the guarded state. Its methods may be called from any
// goroutine.
type Membership struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
}

// New makes the membership of a controller that has asked nobody yet.
func New(info *node.Info, guard *state.Guard, services *external.Services) *Membership {
	return &Membership{node: info, guard: guard, services: services}
}

// PeerLoop asks the peers while the state service is out of reach, until ctx is done.
func (m *Membership) PeerLoop(ctx context.Context) {
	for timing.Sleep(ctx, m.node.Settings.ControllerLeaseTTL()/askingRoundsPerLease) {
		if !m.storeReachable() {
			m.QueryPeers(ctx)
		}
	}
}

// QueryPeers asks every peer whether it reaches the state service, and what it has done
// that this node can't see meanwhile.
func (m *Membership) QueryPeers(ctx context.Context) {
	for _, member := range m.node.Settings.Members {
		m.askPeer(ctx, member.HostName, member.Addr)
	}
	state := m.guard.Lock()
	state.Reachability.PeersQueried = !state.Reachability.StoreReachable
	m.guard.Unlock()
}

// askPeer asks one peer what it sees of the state service and what it has done since the
// revision that this node has read up to.
func (m *Membership) askPeer(ctx context.Context, name, addr string) {
	state := m.guard.Lock()
	request := &peer.Request{
		Kind:  peer.Request_KIND_ACKNOWLEDGE,
		From:  m.node.Settings.HostName,
		Since: state.Cache.Revision,
	}
	asked := m.node.Now()
	m.guard.Unlock()
	deadline := m.node.Settings.ControllerLeaseTTL() / askDeadlinesPerLease
	reply, err := m.services.Peers.Ask(ctx, addr, request, deadline)
	state = m.guard.Lock()
	defer m.guard.Unlock()
	if err != nil {
		delete(state.Reachability.StoreReachableByPeer, name)
		return
	}
	state.Reachability.StoreReachableByPeer[name] = reply.GetStoreReached()
	state.Leadership.RecordAcknowledgement(name, reply.GetAcknowledgement(), asked)
}

// ForwardingPeer returns the address of a peer that can serve users for us while we can't reach
// the state service; "" when we can, or nobody else can.
func (m *Membership) ForwardingPeer() string {
	state := m.guard.Lock()
	defer m.guard.Unlock()
	if state.Reachability.StoreReachable {
		return ""
	}
	for _, member := range m.node.Settings.Members {
		if state.Reachability.StoreReachableByPeer[member.HostName] {
			return member.Addr
		}
	}
	return ""
}

// ShouldServePeer reports whether a peer's request is to be carried out: it asks for more
// than what we see of the state service and have done, and we can serve it.
func (m *Membership) ShouldServePeer(request *peer.Request) bool {
	switch request.GetKind() {
	case peer.Request_KIND_HEALTH, peer.Request_KIND_ACKNOWLEDGE:
		return false
	case peer.Request_KIND_UNSPECIFIED, peer.Request_KIND_SUBMIT, peer.Request_KIND_QUERY, peer.Request_KIND_CANCEL:
		return m.canServe()
	}
	return m.canServe()
}

// PeerStatus answers a peer what this node sees of the state service and, if asked, what
// it has done.
func (m *Membership) PeerStatus(request *peer.Request) *peer.Reply {
	reply := &peer.Reply{StoreReached: m.canServe()}
	if request.GetKind() == peer.Request_KIND_ACKNOWLEDGE {
		state := m.guard.Lock()
		reply.Acknowledgement = state.Leadership.Acknowledgement(request.GetSince())
		m.guard.Unlock()
	}
	return reply
}

// canServe reports whether this node can serve users, its own and those of peers: it reaches the
// state service and its replica is whole.
func (m *Membership) canServe() bool {
	state := m.guard.Lock()
	defer m.guard.Unlock()
	return state.Cache.Loaded && state.Reachability.StoreReachable
}

// storeReachable reports whether the state service served our last request.
func (m *Membership) storeReachable() bool {
	state := m.guard.Lock()
	defer m.guard.Unlock()
	return state.Reachability.StoreReachable
}
