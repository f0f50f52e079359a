package controller

import (
	"context"
	"strings"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/peer"
	"violetturn/internal/store"
	"violetturn/internal/transport"
)

// handle routes a request. It runs in the event loop.
func (c *Controller) handle(req *httpwire.Message, later func(transport.Response)) (transport.Response, bool) {
	path, _, _ := strings.Cut(req.Target, "?")
	method := func(want string, f func(context.Context) transport.Response) (transport.Response, bool) {
		if req.Method != want {
			return jsonResponse(405, map[string]string{"error": "method not allowed"}), true
		}
		// Users wait their turn in a bounded line; beyond it they are told at
		// once to come back.
		select {
		case c.userSlots <- struct{}{}:
		default:
			return responseBusy, true
		}
		go func() {
			defer func() { <-c.userSlots }()
			ctx, cancel := context.WithTimeout(context.Background(), userRequestTimeout)
			defer cancel()
			later(f(ctx))
		}()
		return transport.Response{}, false
	}
	switch {
	case path == "/checkin":
		if req.Method != "POST" {
			return jsonResponse(405, map[string]string{"error": "method not allowed"}), true
		}
		return c.handleHeartbeat(req), true
	case path == "/healthz":
		if req.Method != "GET" {
			return jsonResponse(405, map[string]string{"error": "method not allowed"}), true
		}
		return c.health(), true
	case path == "/v2/runs":
		return method("POST", func(ctx context.Context) transport.Response {
			return c.serveOrForward(ctx, &peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: req.Body})
		})
	}
	if id, ok := strings.CutPrefix(path, "/v2/runs/"); ok {
		if uid, ok := strings.CutSuffix(id, "/cancel"); ok {
			return method("POST", func(ctx context.Context) transport.Response {
				return c.serveOrForward(ctx, &peer.Request{Kind: peer.Request_KIND_CANCEL, Uid: uid})
			})
		}
		if !strings.Contains(id, "/") {
			return method("GET", func(ctx context.Context) transport.Response {
				return c.serveOrForward(ctx, &peer.Request{Kind: peer.Request_KIND_QUERY, Uid: id})
			})
		}
	}
	return jsonResponse(404, map[string]string{"error": "no such path"}), true
}

// userRequestTimeout bounds the work on one request: users wait 2 s for a poll and
// 5 s for a submission (PROTOCOL), and are answered before that.
const userRequestTimeout = 1800 * time.Millisecond

func (c *Controller) health() transport.Response {
	state := c.guard.Lock()
	defer c.guard.Unlock()
	// A node that has just started is not ready before it has read what lives.
	// One that can't reach the state service stays in: a peer may serve for it,
	// and in an outage of all, nodes taken out would stay out for long after it,
	// since the balancer's pauses double.
	if !state.cache.loaded && state.reachability.storeReachable {
		return responseBusy
	}
	// But one that reaches neither the state service nor any peer is cut off
	// itself: it can say nothing to its users and lets them go.
	if !state.reachability.storeReachable && c.node.now().Sub(state.reachability.since) > c.node.settings.ControllerLeaseTTL()/2 && state.reachability.peersAsked &&
		len(state.reachability.peers) == 0 {
		return responseBusy
	}
	return jsonResponse(200, map[string]string{"node": c.node.settings.HostName})
}

// jobState finds what is committed of a job: its state, or that it does not exist.
// The replica is brought up to now first, so no other node can have told the
// user something newer before the question was asked.
func (c *Controller) jobState(ctx context.Context, uid string) (api.State, bool, error) {
	state := c.guard.Lock()
	p, over := state.finalStates.byJob[uid]
	c.guard.Unlock()
	if over { // final, whatever else happened
		return api.State{UID: uid, Phase: p.Phase, Done: p.Done}, true, nil
	}
	if err := c.awaitReadBarrier(ctx); err != nil {
		return api.State{}, false, err
	}
	state = c.guard.Lock()
	if j := state.cache.jobs[uid]; j != nil {
		s := j.userState(c.node.settings.ConfirmsCancelWhenEmpty())
		c.guard.Unlock()
		return s, true, nil
	}
	c.guard.Unlock()
	it, found, err := c.store.Get(ctx, finalStatePrefix+uid, store.PrioritySubmission)
	if err != nil || !found {
		return api.State{}, false, err
	}
	if err := unmarshal(it.Value, &p); err != nil {
		return api.State{}, false, err
	}
	state = c.guard.Lock()
	state.finalStates.remember(uid, p)
	c.guard.Unlock()
	return api.State{UID: uid, Phase: p.Phase, Done: p.Done}, true, nil
}

func (c *Controller) query(ctx context.Context, uid string) transport.Response {
	if !api.ValidUID(uid) {
		return jsonResponse(404, map[string]string{"error": "no such run"})
	}
	s, found, err := c.jobState(ctx, uid)
	switch {
	case err != nil:
		return responseBusy
	case !found:
		return jsonResponse(404, map[string]string{"error": "no such run"})
	}
	return jsonResponse(200, s)
}

// cancel commits the cancellation and then says so. Any node can do it: a start
// is committed under a precondition on the same record.
func (c *Controller) cancel(ctx context.Context, uid string) transport.Response {
	if !api.ValidUID(uid) {
		return jsonResponse(404, map[string]string{"error": "no such run"})
	}
	for range 4 {
		s, found, err := c.jobState(ctx, uid)
		switch {
		case err != nil:
			return responseBusy
		case !found:
			return jsonResponse(404, map[string]string{"error": "no such run"})
		case s.Phase == api.Done || s.Phase == api.Cancelled:
			return jsonResponse(200, map[string]string{"uid": uid, "phase": s.Phase})
		}
		state := c.guard.Lock()
		j := state.cache.jobs[uid]
		if j == nil || j.record.Cancelled {
			c.guard.Unlock()
			continue
		}
		t := newTransaction()
		t.require(jobPrefix+uid, j.version)
		m := j.record.Copy()
		m.Cancelled = true
		t.put(jobPrefix+uid, m)
		if len(t.writes[jobPrefix+uid]) > state.schema.maxRecordBytes() {
			state.schema.splitRequests[uid] = m.Generation + 1 // its tasks are divided first
			c.guard.Unlock()
			c.wake.notify()
			return responseBusy
		}
		c.guard.Unlock()
		done, _, err := c.commit(ctx, "cancelled", t, store.PriorityDecision)
		if err != nil {
			return responseBusy
		}
		if done {
			c.node.log.Info("job cancelled", "job", uid)
			c.wake.notify()
			if c.node.settings.ConfirmsCancelWhenEmpty() {
				continue // what is committed is told as it stands
			}
			return jsonResponse(200, map[string]string{"uid": uid, "phase": api.Cancelled})
		}
	}
	return responseBusy
}
