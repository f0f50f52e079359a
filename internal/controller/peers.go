package controller

import (
	"context"

	"google.golang.org/protobuf/proto"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/peer"
	"violetturn/internal/respond"
	"violetturn/internal/transport"
)

// noteStoreAnswer notes whether the state service served a request.
func (y *storeSync) noteStoreAnswer(ok bool) {
	state := y.guard.Lock()
	if state.Reachability.StoreReachable != ok {
		state.Reachability.StoreReachable, state.Reachability.Since, state.Reachability.PeersAsked = ok, y.node.Now(), false
		y.node.Log.Info("state service reachability", "reachable", ok)
	}
	y.guard.Unlock()
}

// storeReachable reports whether the state service served our last request.
func (y *storeSync) storeReachable() bool {
	state := y.guard.Lock()
	defer y.guard.Unlock()
	return state.Reachability.StoreReachable
}

// peerLoop asks the peers for their sight of the state service while ours is
// gone.
func (pm *peerMembership) peerLoop(ctx context.Context) {
	for sleep(ctx, pm.node.Settings.ControllerLeaseTTL()/8) {
		state := pm.guard.Lock()
		lost := !state.Reachability.StoreReachable
		pm.guard.Unlock()
		if !lost {
			continue
		}
		pm.askPeers(ctx)
	}
}

// askPeers asks every peer whether it reaches the state service, and what it has done
// that this node can't see meanwhile.
func (pm *peerMembership) askPeers(ctx context.Context) {
	for _, m := range pm.node.Settings.Members {
		pm.askPeer(ctx, m.HostName, m.Addr)
	}
	state := pm.guard.Lock()
	state.Reachability.PeersAsked = !state.Reachability.StoreReachable
	pm.guard.Unlock()
}

// forwardingPeer names a peer that can serve users for us while we can't reach the
// state service; "" when we can, or nobody else can.
func (pm *peerMembership) forwardingPeer() string {
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

// serveOrForward answers a user's request here, or lets a peer do it when this node
// can't reach the state service and the peer can.
func (rf *requestFrontend) serveOrForward(ctx context.Context, r *peer.Request) transport.Response {
	if addr := rf.members.forwardingPeer(); addr != "" {
		// A peer of the version before would call a new shape malformed, for good.
		if r.GetKind() == peer.Request_KIND_SUBMIT && !rf.acceptsKind(api.KindOf(r.GetBody())) {
			return respond.Busy
		}
		r.From = rf.node.Settings.HostName
		a, err := rf.services.peers.Ask(ctx, addr, r, userRequestTimeout*3/4)
		if err == nil && a.GetStatus() != 0 {
			return transport.Response{Status: int(a.GetStatus()), Body: a.GetBody(), RetryAfter: int(a.GetRetryAfter())}
		}
		return respond.Busy // it may have been carried out: the user asks again
	}
	return rf.serveLocally(ctx, r)
}

func (rf *requestFrontend) serveLocally(ctx context.Context, r *peer.Request) transport.Response {
	switch r.GetKind() {
	case peer.Request_KIND_SUBMIT:
		return rf.submit(ctx, r.GetBody())
	case peer.Request_KIND_QUERY:
		return rf.query(ctx, r.GetUid())
	case peer.Request_KIND_CANCEL:
		return rf.cancel(ctx, r.GetUid())
	}
	return transport.Response{Status: 404}
}

// handlePeer answers other controllers. What comes from a peer is never passed
// on to another.
func (rf *requestFrontend) handlePeer(req *httpwire.Message, later func(transport.Response)) (transport.Response, bool) {
	var r peer.Request
	if req.Method != "POST" || req.Target != peer.Path || proto.Unmarshal(req.Body, &r) != nil {
		return transport.Response{Status: 400}, true
	}
	answer := func(a *peer.Reply) transport.Response {
		b, err := proto.Marshal(a)
		if err != nil {
			return transport.Response{Status: 500}
		}
		return transport.Response{Status: 200, Body: b}
	}
	if !rf.members.servesForPeer(&r) {
		return answer(rf.members.peerStatus(&r)), true
	}
	select {
	case rf.userSlots <- struct{}{}:
	default:
		return answer(peerReply(respond.Busy)), true
	}
	go func() {
		defer func() { <-rf.userSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), userRequestTimeout/2)
		defer cancel()
		later(answer(peerReply(rf.serveLocally(ctx, &r))))
	}()
	return transport.Response{}, false
}

// canServe reports whether this node can serve users of its own and of peers.
func (pm *peerMembership) canServe() bool {
	state := pm.guard.Lock()
	defer pm.guard.Unlock()
	return state.Cache.Loaded && state.Reachability.StoreReachable
}

// servesForPeer reports whether a peer's request is to be carried out: it asks for more
// than our sight of the state service, and we can.
func (pm *peerMembership) servesForPeer(r *peer.Request) bool {
	k := r.GetKind()
	return k != peer.Request_KIND_HEALTH && k != peer.Request_KIND_VOUCH && pm.canServe()
}

// peerStatus answers a peer what this node sees of the state service and, if asked, what
// it has done.
func (pm *peerMembership) peerStatus(r *peer.Request) *peer.Reply {
	a := &peer.Reply{StoreReached: pm.canServe()}
	if r.GetKind() == peer.Request_KIND_VOUCH {
		state := pm.guard.Lock()
		a.Vouch = state.Leadership.Acknowledgement(r.GetSince())
		pm.guard.Unlock()
	}
	return a
}

// peerReply wraps what a user is to be told, by a node that reached the state
// service.
func peerReply(r transport.Response) *peer.Reply {
	return &peer.Reply{StoreReached: true, Status: uint32(r.Status), Body: r.Body, RetryAfter: uint32(r.RetryAfter)}
}

// askPeer asks one peer what it sees of the state service and what it has done.
func (pm *peerMembership) askPeer(ctx context.Context, name, addr string) {
	state := pm.guard.Lock()
	since, sent := state.Cache.Revision, pm.node.Now()
	pm.guard.Unlock()
	r, err := pm.services.peers.Ask(
		ctx,
		addr,
		&peer.Request{Kind: peer.Request_KIND_VOUCH, From: pm.node.Settings.HostName, Since: since},
		pm.node.Settings.ControllerLeaseTTL()/4,
	)
	state = pm.guard.Lock()
	defer pm.guard.Unlock()
	if err != nil {
		delete(state.Reachability.Peers, name)
		return
	}
	state.Reachability.Peers[name] = r.GetStoreReached()
	state.Leadership.NoteAcknowledgement(name, r.GetVouch(), sent)
}
