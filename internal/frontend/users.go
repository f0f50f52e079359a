package frontend

import (
	"context"
	"encoding/json"
	"strings"

	"violetturn/internal/api"
	"violetturn/internal/httpwire"
	"violetturn/internal/peer"
	"violetturn/internal/respond"
	"violetturn/internal/statecache"
	"violetturn/internal/store"
	"violetturn/internal/timing"
	"violetturn/internal/transport"
)

func unmarshal(raw json.RawMessage, v any) error { return json.Unmarshal(raw, v) }

// Handle routes a request. It runs in the event loop.
func (rf *Frontend) Handle(req *httpwire.Message, later func(transport.Response)) (transport.Response, bool) {
	path, _, _ := strings.Cut(req.Target, "?")
	method := func(want string, f func(context.Context) transport.Response) (transport.Response, bool) {
		if req.Method != want {
			return respond.JSON(405, map[string]string{"error": "method not allowed"}), true
		}
		// Users wait their turn in a bounded line; beyond it they are told at
		// once to come back.
		select {
		case rf.userSlots <- struct{}{}:
		default:
			return respond.Busy, true
		}
		go func() {
			defer func() { <-rf.userSlots }()
			ctx, cancel := context.WithTimeout(context.Background(), timing.UserRequestTimeout)
			defer cancel()
			later(f(ctx))
		}()
		return transport.Response{}, false
	}
	switch {
	case path == "/checkin":
		if req.Method != "POST" {
			return respond.JSON(405, map[string]string{"error": "method not allowed"}), true
		}
		return rf.HandleHeartbeat(req), true
	case path == "/healthz":
		if req.Method != "GET" {
			return respond.JSON(405, map[string]string{"error": "method not allowed"}), true
		}
		return rf.Health(), true
	case path == "/v2/runs":
		return method("POST", func(ctx context.Context) transport.Response {
			return rf.ServeOrForward(ctx, &peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: req.Body})
		})
	}
	if id, ok := strings.CutPrefix(path, "/v2/runs/"); ok {
		if uid, ok := strings.CutSuffix(id, "/cancel"); ok {
			return method("POST", func(ctx context.Context) transport.Response {
				return rf.ServeOrForward(ctx, &peer.Request{Kind: peer.Request_KIND_CANCEL, Uid: uid})
			})
		}
		if !strings.Contains(id, "/") {
			return method("GET", func(ctx context.Context) transport.Response {
				return rf.ServeOrForward(ctx, &peer.Request{Kind: peer.Request_KIND_QUERY, Uid: id})
			})
		}
	}
	return respond.JSON(404, map[string]string{"error": "no such path"}), true
}

func (rf *Frontend) Health() transport.Response {
	state := rf.guard.Lock()
	defer rf.guard.Unlock()
	// A node that has just started is not ready before it has read what lives.
	// One that can't reach the state service stays in: a peer may serve for it,
	// and in an outage of all, nodes taken out would stay out for long after it,
	// since the balancer's pauses double.
	if !state.Cache.Loaded && state.Reachability.StoreReachable {
		return respond.Busy
	}
	// But one that reaches neither the state service nor any peer is cut off
	// itself: it can say nothing to its users and lets them go.
	if !state.Reachability.StoreReachable && rf.node.Now().Sub(state.Reachability.Since) > rf.node.Settings.ControllerLeaseTTL()/2 && state.Reachability.PeersAsked &&
		len(state.Reachability.Peers) == 0 {
		return respond.Busy
	}
	return respond.JSON(200, map[string]string{"node": rf.node.Settings.HostName})
}

// jobState finds what is committed of a job: its state, or that it does not exist.
// The replica is brought up to now first, so no other node can have told the
// user something newer before the question was asked.
func (rf *Frontend) jobState(ctx context.Context, uid string) (api.State, bool, error) {
	state := rf.guard.Lock()
	p, over := state.FinalStates.ByJob[uid]
	rf.guard.Unlock()
	if over { // final, whatever else happened
		return api.State{UID: uid, Phase: p.Phase, Done: p.Done}, true, nil
	}
	if err := rf.sync.AwaitReadBarrier(ctx); err != nil {
		return api.State{}, false, err
	}
	state = rf.guard.Lock()
	if j := state.Cache.Jobs[uid]; j != nil {
		s := j.UserState(rf.node.Settings.ConfirmsCancelWhenEmpty())
		rf.guard.Unlock()
		return s, true, nil
	}
	rf.guard.Unlock()
	it, found, err := rf.services.Store.Get(ctx, statecache.FinalStateKey(uid), store.PrioritySubmission)
	if err != nil || !found {
		return api.State{}, false, err
	}
	if err := unmarshal(it.Value, &p); err != nil {
		return api.State{}, false, err
	}
	state = rf.guard.Lock()
	state.FinalStates.Remember(uid, p)
	rf.guard.Unlock()
	return api.State{UID: uid, Phase: p.Phase, Done: p.Done}, true, nil
}

func (rf *Frontend) Query(ctx context.Context, uid string) transport.Response {
	if !api.ValidUID(uid) {
		return respond.JSON(404, map[string]string{"error": "no such run"})
	}
	s, found, err := rf.jobState(ctx, uid)
	switch {
	case err != nil:
		return respond.Busy
	case !found:
		return respond.JSON(404, map[string]string{"error": "no such run"})
	}
	return respond.JSON(200, s)
}

// cancel commits the cancellation and then says so. Any node can do it: a start
// is committed under a precondition on the same record.
func (rf *Frontend) cancel(ctx context.Context, uid string) transport.Response {
	if !api.ValidUID(uid) {
		return respond.JSON(404, map[string]string{"error": "no such run"})
	}
	for range 4 {
		s, found, err := rf.jobState(ctx, uid)
		switch {
		case err != nil:
			return respond.Busy
		case !found:
			return respond.JSON(404, map[string]string{"error": "no such run"})
		case s.Phase == api.Done || s.Phase == api.Cancelled:
			return respond.JSON(200, map[string]string{"uid": uid, "phase": s.Phase})
		}
		state := rf.guard.Lock()
		j := state.Cache.Jobs[uid]
		if j == nil || j.Record.Cancelled {
			rf.guard.Unlock()
			continue
		}
		t := statecache.NewTransaction()
		t.Require(statecache.JobKey(uid), j.Version)
		m := j.Record.Copy()
		m.Cancelled = true
		t.Put(statecache.JobKey(uid), m)
		if t.Size(statecache.JobKey(uid)) > state.Schema.MaxRecordBytes() {
			state.Schema.SplitRequests[uid] = m.Generation + 1 // its tasks are divided first
			rf.guard.Unlock()
			rf.wake.Notify()
			return respond.Busy
		}
		rf.guard.Unlock()
		done, _, err := rf.sync.Commit(ctx, "cancelled", t, store.PriorityDecision)
		if err != nil {
			return respond.Busy
		}
		if done {
			rf.node.Log.Info("job cancelled", "job", uid)
			rf.wake.Notify()
			if rf.node.Settings.ConfirmsCancelWhenEmpty() {
				continue // what is committed is told as it stands
			}
			return respond.JSON(200, map[string]string{"uid": uid, "phase": api.Cancelled})
		}
	}
	return respond.Busy
}

// HandleHeartbeat answers a worker's heartbeat, in the event loop and from memory alone:
// reports go before all other work.
func (rf *Frontend) HandleHeartbeat(req *httpwire.Message) transport.Response {
	r, err := api.ParseHeartbeat(req.Body)
	if err != nil {
		return respond.JSON(400, map[string]string{"error": err.Error()})
	}
	state := rf.guard.Lock()
	defer rf.guard.Unlock()
	return state.Reconciler.AnswerHeartbeat(r, rf.node.Now())
}
