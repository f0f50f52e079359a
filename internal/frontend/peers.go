package frontend

import (
	"context"

	"google.golang.org/protobuf/proto"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/peer"
	"violetturn/internal/respond"
	"violetturn/internal/timing"
	"violetturn/internal/transport"
)

const (
	// forwardTimeout bounds how long a peer is waited for that serves a user for this node. The
	// user is answered within timing.UserRequestTimeout either way.
	forwardTimeout = timing.UserRequestTimeout * 3 / 4
	// peerRequestTimeout bounds the work on a user's request that a peer forwarded: less than the
	// peer waits for.
	peerRequestTimeout = timing.UserRequestTimeout / 2
)

// ServeOrForward answers a user's request here, or lets a peer do it when this node
// can't reach the state service and the peer can.
func (f *Frontend) ServeOrForward(ctx context.Context, r *peer.Request) transport.Response {
	addr := f.members.ForwardingPeer()
	if addr == "" {
		return f.ServeLocally(ctx, r)
	}
	// A peer of the version before would refuse a new kind as malformed, and its user would not
	// come back.
	if r.GetKind() == peer.Request_KIND_SUBMIT && !f.acceptsKind(api.ExtractJobKind(r.GetBody())) {
		return respond.Busy
	}
	r.From = f.node.Settings.HostName
	reply, err := f.services.Peers.Call(ctx, addr, r, forwardTimeout)
	if err != nil || reply.GetStatus() == 0 {
		return respond.Busy // it may have been carried out: the user asks again
	}
	return transport.Response{Status: int(reply.GetStatus()), Body: reply.GetBody(), RetryAfter: int(reply.GetRetryAfter())}
}

// ServeLocally answers a user's request here.
func (f *Frontend) ServeLocally(ctx context.Context, r *peer.Request) transport.Response {
	switch r.GetKind() {
	case peer.Request_KIND_SUBMIT:
		return f.Submit(ctx, r.GetBody())
	case peer.Request_KIND_QUERY:
		return f.Query(ctx, r.GetUid())
	case peer.Request_KIND_CANCEL:
		return f.cancel(ctx, r.GetUid())
	case peer.Request_KIND_UNSPECIFIED, peer.Request_KIND_HEALTH, peer.Request_KIND_ACKNOWLEDGE: // no users' requests
	}
	return transport.Response{Status: api.StatusNotFound}
}

// HandlePeer answers other controllers. It is a transport.Handler of the port for peers. What
// comes from a peer is never forwarded to another.
func (f *Frontend) HandlePeer(req *httpwire.Message, later func(transport.Response)) (response transport.Response, answered bool) {
	var r peer.Request
	if req.Method != methodPost || req.Target != peer.Path || proto.Unmarshal(req.Body, &r) != nil {
		return transport.Response{Status: api.StatusBadRequest}, true
	}
	if !f.members.ShouldServePeer(&r) {
		return encodeReply(f.members.PeerStatus(&r)), true
	}
	serve := func(ctx context.Context) { later(encodeReply(NewPeerReply(f.ServeLocally(ctx, &r)))) }
	if !f.startRequest(peerRequestTimeout, serve) {
		return encodeReply(NewPeerReply(respond.Busy)), true
	}
	return transport.Response{}, false
}

// encodeReply makes the response that carries a reply to a peer.
func encodeReply(reply *peer.Reply) transport.Response {
	body, err := proto.Marshal(reply)
	if err != nil {
		return transport.Response{Status: statusInternalError}
	}
	return transport.Response{Status: statusOK, Body: body}
}

// NewPeerReply wraps what a user is to be told, by a node that reached the state
// service.
func NewPeerReply(r transport.Response) *peer.Reply {
	return &peer.Reply{StoreReached: true, Status: uint32(r.Status), Body: r.Body, RetryAfter: uint32(r.RetryAfter)}
}
