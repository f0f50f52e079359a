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
	jobPathPrefix  = submissionPath + "/" // followed by a job ID: state of the job
	cancelSuffix   = "/cancel"            // after the job ID: cancellation of the job

	methodGet  = "GET"
	methodPost = "POST"
)

// Handle routes a request of a worker, a user or the load balancer. It is a transport.Handler and
// runs in the event loop: it responds at once to requests that only need state in memory, and
// starts a goroutine for each other request.
func (f *Frontend) Handle(message *httpwire.Message, send func(transport.Response)) (response transport.Response, answered bool) {
	path, _, _ := strings.Cut(message.Target, "?")
	switch path {
	case heartbeatPath:
		if message.Method != methodPost {
			return errorResponse(errMethodNotAllowed), true
		}
		return f.HandleHeartbeat(message), true
	case healthPath:
		if message.Method != methodGet {
			return errorResponse(errMethodNotAllowed), true
		}
		return f.HandleHealthCheck(), true
	}
	method, request := userRequest(path, message.Body)
	if request == nil {
		return errorResponse(errUnknownPath), true
	}
	if message.Method != method {
		return errorResponse(errMethodNotAllowed), true
	}
	serve := func(ctx context.Context) { send(f.ServeOrForward(ctx, request)) }
	if !f.startRequest(timing.UserRequestTimeout, serve) {
		return respond.Busy, true
	}
	return transport.Response{}, false
}

// userRequest returns the user request that a path and body stand for, and the method that it must
// have. The request is nil if the path does not exist.
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

// startRequest runs serve in a goroutine, with a context that ends after timeout. If
// maxUserRequests are in progress, it returns false without running serve; the caller then responds
// at once that the user should retry. The goroutine ends when serve returns; a stopping controller
// does not wait for it.
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

// HandleHeartbeat returns the response to a worker's heartbeat. It runs in the event loop and only
// uses state in memory, because heartbeats take precedence over all other work.
func (f *Frontend) HandleHeartbeat(message *httpwire.Message) transport.Response {
	heartbeat, err := api.ParseHeartbeat(message.Body)
	if err != nil {
		return errorResponse(err)
	}
	state := f.guard.Lock()
	defer f.guard.Unlock()
	return state.Reconciler.AnswerHeartbeat(heartbeat, f.node.Now())
}
