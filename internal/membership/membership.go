package membership

import (
	"context"

	"violetturn/internal/external"
	"violetturn/internal/node"
	"violetturn/internal/peer"
	"violetturn/internal/state"
	"violetturn/internal/timing"
)

// Intervals as fractions of the lease time.
const (
	peerQueriesPerLease   = 8 // interval between queries of all peers while the state service is unreachable
	queryTimeoutsPerLease = 4 // timeout for one peer's reply
)

// Membership queries the peers about whether they reach the state service and what they have
// done, and answers the same queries. It stores the replies in the guarded state. Its methods may
// be called from any goroutine.
type Membership struct {
	node     *node.Info
	guard    *state.Guard
	services *external.Services
}

// New creates the membership of a controller that has not queried any peer yet.
func New(info *node.Info, guard *state.Guard, services *external.Services) *Membership {
	return &Membership{node: info, guard: guard, services: services}
}

// PeerLoop queries the peers while the state service is unreachable, until ctx is done.
func (m *Membership) PeerLoop(ctx context.Context) {
	for timing.Sleep(ctx, m.node.Settings.ControllerLeaseTTL()/peerQueriesPerLease) {
		if !m.storeReachable() {
			m.QueryPeers(ctx)
		}
	}
}

// QueryPeers queries each peer about whether it reaches the state service, and what it has done
// that this controller cannot read meanwhile.
func (m *Membership) QueryPeers(ctx context.Context) {
	for _, member := range m.node.Settings.Members {
		m.queryPeer(ctx, member.HostName, member.Addr)
	}
	state := m.guard.Lock()
	state.Reachability.PeersQueried = !state.Reachability.StoreReachable
	m.guard.Unlock()
}

// queryPeer queries one peer about whether it reaches the state service, and what it has done
// since the revision up to which this controller has read the changes.
func (m *Membership) queryPeer(ctx context.Context, name, addr string) {
	state := m.guard.Lock()
	request := &peer.Request{
		Kind:  peer.Request_KIND_ACKNOWLEDGE,
		From:  m.node.Settings.HostName,
		Since: state.Cache.Revision,
	}
	requestedAt := m.node.Now()
	m.guard.Unlock()
	timeout := m.node.Settings.ControllerLeaseTTL() / queryTimeoutsPerLease
	reply, err := m.services.Peers.Call(ctx, addr, request, timeout)
	state = m.guard.Lock()
	defer m.guard.Unlock()
	if err != nil {
		delete(state.Reachability.StoreReachableByPeer, name)
		return
	}
	state.Reachability.StoreReachableByPeer[name] = reply.GetStoreReached()
	state.Leadership.RecordAcknowledgement(name, reply.GetAcknowledgement(), requestedAt)
}

// ForwardingPeer returns the address of a peer that can serve users for this controller while the
// state service is unreachable. It returns "" if this controller reaches the state service, or no
// peer does.
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

// ShouldServePeer reports whether this controller carries out a peer's request: the request is not
// answered by PeerStatus alone, and this controller can serve it.
func (m *Membership) ShouldServePeer(request *peer.Request) bool {
	switch request.GetKind() {
	case peer.Request_KIND_HEALTH, peer.Request_KIND_ACKNOWLEDGE:
		return false
	case peer.Request_KIND_UNSPECIFIED, peer.Request_KIND_SUBMIT, peer.Request_KIND_QUERY, peer.Request_KIND_CANCEL:
		return m.canServe()
	}
	return m.canServe()
}

// PeerStatus returns the reply to a peer: whether this controller can serve users and, if
// requested, what it has done.
func (m *Membership) PeerStatus(request *peer.Request) *peer.Reply {
	reply := &peer.Reply{StoreReached: m.canServe()}
	if request.GetKind() == peer.Request_KIND_ACKNOWLEDGE {
		state := m.guard.Lock()
		reply.Acknowledgement = state.Leadership.Acknowledgement(request.GetSince())
		m.guard.Unlock()
	}
	return reply
}

// canServe reports whether this controller can serve users, its own and those of peers: it reaches
// the state service and its cache is fully loaded.
func (m *Membership) canServe() bool {
	state := m.guard.Lock()
	defer m.guard.Unlock()
	return state.Cache.Loaded && state.Reachability.StoreReachable
}

// storeReachable reports whether the state service served this controller's last request.
func (m *Membership) storeReachable() bool {
	state := m.guard.Lock()
	defer m.guard.Unlock()
	return state.Reachability.StoreReachable
}
