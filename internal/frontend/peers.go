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
	// forwardTimeout bounds the wait for a peer to which a user's request is forwarded. It is shorter
	// than timing.UserRequestTimeout, so that the user gets a response in time in any case.
	forwardTimeout = timing.UserRequestTimeout * 3 / 4
	// peerRequestTimeout bounds the work on a user's request that a peer forwarded. It is shorter
	// than the time for which the peer waits.
	peerRequestTimeout = timing.UserRequestTimeout / 2
)

// ServeOrForward serves a user's request on this controller, or forwards it to a peer if this
// controller cannot reach the state service and the peer can.
func (f *Frontend) ServeOrForward(ctx context.Context, request *peer.Request) transport.Response {
	addr := f.members.ForwardingPeer()
	if addr == "" {
		return f.ServeLocally(ctx, request)
	}
	// A peer of the previous version would reject a new job kind as malformed, and the user would
	// not retry.
	if request.GetKind() == peer.Request_KIND_SUBMIT && !f.acceptsKind(api.ExtractJobKind(request.GetBody())) {
		return respond.Busy
	}
	request.From = f.node.Settings.HostName
	reply, err := f.services.Peers.Call(ctx, addr, request, forwardTimeout)
	if err != nil {
		return respond.Busy // the peer may have executed the request; the user retries
	}
	return responseOfReply(reply)
}

// Bounds of the numbers in a reply of a peer.
const (
	minReplyStatus = 200
	maxReplyStatus = 599
	maxRetryAfter  = 30 // seconds; the longest that users wait (PROTOCOL)
)

// responseOfReply returns the response for a user that a peer's reply contains. A reply without a
// status that a response can have asks the user to retry.
func responseOfReply(reply *peer.Reply) transport.Response {
	if reply.GetStatus() < minReplyStatus || reply.GetStatus() > maxReplyStatus {
		return respond.Busy
	}
	retryAfter := min(reply.GetRetryAfter(), maxRetryAfter)
	return transport.Response{Status: int(reply.GetStatus()), Body: reply.GetBody(), RetryAfter: int(retryAfter)}
}

// ServeLocally serves a user's request on this controller.
func (f *Frontend) ServeLocally(ctx context.Context, request *peer.Request) transport.Response {
	switch request.GetKind() {
	case peer.Request_KIND_SUBMIT:
		return f.Submit(ctx, request.GetBody())
	case peer.Request_KIND_QUERY:
		return f.Query(ctx, request.GetUid())
	case peer.Request_KIND_CANCEL:
		return f.cancel(ctx, request.GetUid())
	case peer.Request_KIND_UNSPECIFIED, peer.Request_KIND_HEALTH, peer.Request_KIND_ACKNOWLEDGE: // not user requests
	}
	return transport.Response{Status: api.StatusNotFound}
}

// HandlePeer serves the requests of peers. It is the transport.Handler of the cluster
// address. A request from a peer is never forwarded to another peer.
func (f *Frontend) HandlePeer(message *httpwire.Message, send func(transport.Response)) (response transport.Response, answered bool) {
	var request peer.Request
	if message.Method != methodPost || message.Target != peer.Path || proto.Unmarshal(message.Body, &request) != nil {
		return transport.Response{Status: api.StatusBadRequest}, true
	}
	if !f.members.ShouldServePeer(&request) {
		return encodeReply(f.members.PeerStatus(&request)), true
	}
	serve := func(ctx context.Context) { send(encodeReply(NewPeerReply(f.ServeLocally(ctx, &request)))) }
	if !f.startRequest(peerRequestTimeout, serve) {
		return encodeReply(NewPeerReply(respond.Busy)), true
	}
	return transport.Response{}, false
}

// encodeReply returns the HTTP response that contains a reply to a peer.
func encodeReply(reply *peer.Reply) transport.Response {
	body, err := proto.Marshal(reply)
	if err != nil {
		return transport.Response{Status: statusInternalError}
	}
	return transport.Response{Status: statusOK, Body: body}
}

// NewPeerReply returns the reply to a peer that contains the response for its user. It states that
// this controller reaches the state service.
func NewPeerReply(response transport.Response) *peer.Reply {
	return &peer.Reply{StoreReached: true, Status: uint32(response.Status), Body: response.Body, RetryAfter: uint32(response.RetryAfter)}
}
