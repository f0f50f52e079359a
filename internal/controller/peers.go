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
func (c *Controller) noteStoreAnswer(ok bool) {
	state := c.guard.Lock()
	if state.Reachability.StoreReachable != ok {
		state.Reachability.StoreReachable, state.Reachability.Since, state.Reachability.PeersAsked = ok, c.node.Now(), false
		c.node.Log.Info("state service reachability", "reachable", ok)
	}
	c.guard.Unlock()
}

// storeReachable reports whether the state service served our last request.
func (c *Controller) storeReachable() bool {
	state := c.guard.Lock()
	defer c.guard.Unlock()
	return state.Reachability.StoreReachable
}

// peerLoop asks the peers for their sight of the state service while ours is
// gone.
func (c *Controller) peerLoop(ctx context.Context) {
	for sleep(ctx, c.node.Settings.ControllerLeaseTTL()/8) {
		state := c.guard.Lock()
		lost := !state.Reachability.StoreReachable
		c.guard.Unlock()
		if !lost {
			continue
		}
		c.askPeers(ctx)
	}
}

// askPeers asks every peer whether it reaches the state service, and what it has done
// that this node can't see meanwhile.
func (c *Controller) askPeers(ctx context.Context) {
	for _, m := range c.node.Settings.Members {
		c.askPeer(ctx, m.HostName, m.Addr)
	}
	state := c.guard.Lock()
	state.Reachability.PeersAsked = !state.Reachability.StoreReachable
	c.guard.Unlock()
}

// forwardingPeer names a peer that can serve users for us while we can't reach the
// state service; "" when we can, or nobody else can.
func (c *Controller) forwardingPeer() string {
	state := c.guard.Lock()
	defer c.guard.Unlock()
	if state.Reachability.StoreReachable {
		return ""
	}
	for _, m := range c.node.Settings.Members {
		if state.Reachability.Peers[m.HostName] {
			return m.Addr
		}
	}
	return ""
}

// serveOrForward answers a user's request here, or lets a peer do it when this node
// can't reach the state service and the peer can.
func (c *Controller) serveOrForward(ctx context.Context, r *peer.Request) transport.Response {
	if addr := c.forwardingPeer(); addr != "" {
		// A peer of the version before would call a new shape malformed, for good.
		if r.GetKind() == peer.Request_KIND_SUBMIT && !c.acceptsKind(api.KindOf(r.GetBody())) {
			return respond.Busy
		}
		r.From = c.node.Settings.HostName
		a, err := c.peers.Ask(ctx, addr, r, userRequestTimeout*3/4)
		if err == nil && a.GetStatus() != 0 {
			return transport.Response{Status: int(a.GetStatus()), Body: a.GetBody(), RetryAfter: int(a.GetRetryAfter())}
		}
		return respond.Busy // it may have been carried out: the user asks again
	}
	return c.serveLocally(ctx, r)
}

func (c *Controller) serveLocally(ctx context.Context, r *peer.Request) transport.Response {
	switch r.GetKind() {
	case peer.Request_KIND_SUBMIT:
		return c.submit(ctx, r.GetBody())
	case peer.Request_KIND_QUERY:
		return c.query(ctx, r.GetUid())
	case peer.Request_KIND_CANCEL:
		return c.cancel(ctx, r.GetUid())
	}
	return transport.Response{Status: 404}
}

// handlePeer answers other controllers. What comes from a peer is never passed
// on to another.
func (c *Controller) handlePeer(req *httpwire.Message, later func(transport.Response)) (transport.Response, bool) {
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
	if !c.servesForPeer(&r) {
		return answer(c.peerStatus(&r)), true
	}
	select {
	case c.userSlots <- struct{}{}:
	default:
		return answer(peerReply(respond.Busy)), true
	}
	go func() {
		defer func() { <-c.userSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), userRequestTimeout/2)
		defer cancel()
		later(answer(peerReply(c.serveLocally(ctx, &r))))
	}()
	return transport.Response{}, false
}

// canServe reports whether this node can serve users of its own and of peers.
func (c *Controller) canServe() bool {
	state := c.guard.Lock()
	defer c.guard.Unlock()
	return state.Cache.Loaded && state.Reachability.StoreReachable
}

// servesForPeer reports whether a peer's request is to be carried out: it asks for more
// than our sight of the state service, and we can.
func (c *Controller) servesForPeer(r *peer.Request) bool {
	k := r.GetKind()
	return k != peer.Request_KIND_HEALTH && k != peer.Request_KIND_VOUCH && c.canServe()
}

// peerStatus answers a peer what this node sees of the state service and, if asked, what
// it has done.
func (c *Controller) peerStatus(r *peer.Request) *peer.Reply {
	a := &peer.Reply{StoreReached: c.canServe()}
	if r.GetKind() == peer.Request_KIND_VOUCH {
		state := c.guard.Lock()
		a.Vouch = state.Leadership.Acknowledgement(r.GetSince())
		c.guard.Unlock()
	}
	return a
}

// peerReply wraps what a user is to be told, by a node that reached the state
// service.
func peerReply(r transport.Response) *peer.Reply {
	return &peer.Reply{StoreReached: true, Status: uint32(r.Status), Body: r.Body, RetryAfter: uint32(r.RetryAfter)}
}

// askPeer asks one peer what it sees of the state service and what it has done.
func (c *Controller) askPeer(ctx context.Context, name, addr string) {
	state := c.guard.Lock()
	since, sent := state.Cache.Revision, c.node.Now()
	c.guard.Unlock()
	r, err := c.peers.Ask(
		ctx,
		addr,
		&peer.Request{Kind: peer.Request_KIND_VOUCH, From: c.node.Settings.HostName, Since: since},
		c.node.Settings.ControllerLeaseTTL()/4,
	)
	state = c.guard.Lock()
	defer c.guard.Unlock()
	if err != nil {
		delete(state.Reachability.Peers, name)
		return
	}
	state.Reachability.Peers[name] = r.GetStoreReached()
	state.Leadership.NoteAcknowledgement(name, r.GetVouch(), sent)
}
