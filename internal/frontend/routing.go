package frontend

import (
	"context"
	"strings"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/peer"
	"violetturn/internal/respond"
	"violetturn/internal/timing"
	"violetturn/internal/transport"
)

// Paths of requests, and their methods.
const (
	heartbeatPath  = "/checkin"
	healthPath     = "/healthz"
	submissionPath = "/v2/runs"
	jobPathPrefix  = submissionPath + "/" // + uid: its state
	cancelSuffix   = "/cancel"            // + that: its cancellation

	methodGet  = "GET"
	methodPost = "POST"
)

// Handle routes a request of a worker, a user or the balancer. It is a transport.Handler: it runs
// in the event loop, answers from memory at once, and leaves the rest to a goroutine.
func (f *Frontend) Handle(req *httpwire.Message, later func(transport.Response)) (response transport.Response, answered bool) {
	path, _, _ := strings.Cut(req.Target, "?")
	switch path {
	case heartbeatPath:
		if req.Method != methodPost {
			return errorResponse(errMethodNotAllowed), true
		}
		return f.HandleHeartbeat(req), true
	case healthPath:
		if req.Method != methodGet {
			return errorResponse(errMethodNotAllowed), true
		}
		return f.HandleHealthCheck(), true
	}
	method, request := userRequest(path, req.Body)
	if request == nil {
		return errorResponse(errUnknownPath), true
	}
	if req.Method != method {
		return errorResponse(errMethodNotAllowed), true
	}
	serve := func(ctx context.Context) { later(f.ServeOrForward(ctx, request)) }
	if !f.startRequest(timing.UserRequestTimeout, serve) {
		return respond.Busy, true
	}
	return transport.Response{}, false
}

// userRequest returns what a user asks with a path, and by which method that has to be; a nil
// request if there is no such path.
func userRequest(path string, body []byte) (method string, request *peer.Request) {
	if path == submissionPath {
		return methodPost, &peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: body}
	}
	id, ok := strings.CutPrefix(path, jobPathPrefix)
	if !ok {
		return "", nil
	}
	if uid, ok := strings.CutSuffix(id, cancelSuffix); ok {
		return methodPost, &peer.Request{Kind: peer.Request_KIND_CANCEL, Uid: uid}
	}
	if strings.Contains(id, "/") {
		return "", nil
	}
	return methodGet, &peer.Request{Kind: peer.Request_KIND_QUERY, Uid: id}
}

// startRequest runs serve in a goroutine, unless as many requests of users are under way as may
// be: then it reports false, and the user is told at once to come back. The goroutine ends when
// serve returns, whose context ends after timeout; a stopping controller doesn't wait for it.
func (f *Frontend) startRequest(timeout time.Duration, serve func(context.Context)) bool {
	select {
	case f.requestSlots <- struct{}{}:
	default:
		return false
	}
	go func() {
		defer func() { <-f.requestSlots }()
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		serve(ctx)
	}()
	return true
}

// HandleHeartbeat answers a worker's heartbeat, in the event loop and from memory alone:
// heartbeats go before all other work.
func (f *Frontend) HandleHeartbeat(req *httpwire.Message) transport.Response {
	heartbeat, err := api.ParseHeartbeat(req.Body)
	if err != nil {
		return errorResponse(err)
	}
	state := f.guard.Lock()
	defer f.guard.Unlock()
	return state.Reconciler.AnswerHeartbeat(heartbeat, f.node.Now())
}
