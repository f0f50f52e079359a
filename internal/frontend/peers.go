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

// ServeOrForward answers a user's request here, or lets a peer do it when this node
// can't reach the state service and the peer can.
func (rf *Frontend) ServeOrForward(ctx context.Context, r *peer.Request) transport.Response {
	if addr := rf.members.ForwardingPeer(); addr != "" {
		// A peer of the version before would call a new shape malformed, for good.
		if r.GetKind() == peer.Request_KIND_SUBMIT && !rf.acceptsKind(api.KindOf(r.GetBody())) {
			return respond.Busy
		}
		r.From = rf.node.Settings.HostName
		a, err := rf.services.Peers.Ask(ctx, addr, r, timing.UserRequestTimeout*3/4)
		if err == nil && a.GetStatus() != 0 {
			return transport.Response{Status: int(a.GetStatus()), Body: a.GetBody(), RetryAfter: int(a.GetRetryAfter())}
		}
		return respond.Busy // it may have been carried out: the user asks again
	}
	return rf.ServeLocally(ctx, r)
}

func (rf *Frontend) ServeLocally(ctx context.Context, r *peer.Request) transport.Response {
	switch r.GetKind() {
	case peer.Request_KIND_SUBMIT:
		return rf.Submit(ctx, r.GetBody())
	case peer.Request_KIND_QUERY:
		return rf.Query(ctx, r.GetUid())
	case peer.Request_KIND_CANCEL:
		return rf.cancel(ctx, r.GetUid())
	}
	return transport.Response{Status: 404}
}

// HandlePeer answers other controllers. What comes from a peer is never passed
// on to another.
func (rf *Frontend) HandlePeer(req *httpwire.Message, later func(transport.Response)) (transport.Response, bool) {
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
	if !rf.members.ServesForPeer(&r) {
		return answer(rf.members.PeerStatus(&r)), true
	}
	select {
	case rf.userSlots <- struct{}{}:
	default:
		return answer(PeerReply(respond.Busy)), true
	}
	go func() {
		defer func() { <-rf.userSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), timing.UserRequestTimeout/2)
		defer cancel()
		later(answer(PeerReply(rf.ServeLocally(ctx, &r))))
	}()
	return transport.Response{}, false
}

// PeerReply wraps what a user is to be told, by a node that reached the state
// service.
func PeerReply(r transport.Response) *peer.Reply {
	return &peer.Reply{StoreReached: true, Status: uint32(r.Status), Body: r.Body, RetryAfter: uint32(r.RetryAfter)}
}
