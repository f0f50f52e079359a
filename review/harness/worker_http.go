package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

// maxBody is the most bytes of a request body, and of a line in a response to workers or users.
const maxBody = 64 << 10

// report returns the worker's next report. The caller holds the lock.
func (v *worker) report() *report {
	v.tick++
	r := &report{
		Host: v.UID, Addr: v.Addr, Build: v.Build, Site: v.Site, Loaners: v.Loaners,
		Tenure: v.tenure, Tick: v.tick, Baton: v.baton, Pieces: []pieceReport{},
	}
	if !v.recallAt.IsZero() {
		left := time.Until(v.recallAt).Seconds()
		r.RecallS = &left
	}
	for _, t := range v.tasks {
		r.Pieces = append(r.Pieces, pieceReport{Piece: t.name(), Try: t.try, Phase: t.phase, Cause: t.cause, Saved: t.saved})
	}
	return r
}

// reportLoop sends a report every reportInterval, give or take a quarter, and when something has
// changed, though never more often than every half second.
func (v *worker) reportLoop() {
	var sentAt time.Time
	next := time.Now()
	for {
		select {
		case <-v.ended:
			return
		case <-time.After(20 * time.Millisecond):
		}
		v.mu.Lock()
		changed := v.changedAt.After(sentAt)
		v.mu.Unlock()
		now := time.Now()
		due := !now.Before(next) || changed && now.Sub(sentAt) >= time.Second/2
		if !due {
			continue
		}
		sentAt = now
		next = now.Add(time.Duration((0.75 + rand.Float64()/2) * float64(reportInterval)))
		if !v.sendReport(now) { // it tries the next node 1 s later
			next = time.Now().Add(time.Second)
			sentAt = next
		}
	}
}

// sendReport sends one report and carries out the response. It returns false if another node is to
// be tried after a pause.
func (v *worker) sendReport(sentAt time.Time) (stay bool) {
	v.mu.Lock()
	r, node := v.report(), v.node
	body, err := json.Marshal(r)
	v.mu.Unlock()
	if err != nil {
		return false
	}
	if len(body) > maxBody {
		v.world.record.note(v.UID, "report %d.%d of %d tasks would have %d bytes: not sent", r.Tenure, r.Tick, len(r.Pieces), len(body))
		v.mu.Lock()
		v.unsent++
		v.mu.Unlock()
		return false
	}
	status, text := v.post(node, body)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refusals[status]++
	var o orders
	if status != 0 && json.Unmarshal(text, &o) != nil {
		status = 0
	}
	v.world.checkLine(v, text)
	if len(text) > maxBody { // the worker takes it for no response
		status, o = 0, orders{}
	}
	v.noteReport(r, node, status, len(body), &o)
	if status == http.StatusOK {
		if r.Tenure == v.tenure && o.Baton >= v.baton && o.Baton > 0 {
			if o.Baton > v.baton {
				v.baton, v.changedAt = o.Baton, time.Now()
			}
			v.renewedAt = sentAt
			v.execute(o.Orders)
		}
		return true
	}
	if steward := v.world.nodeNamed(o.Steward); status == http.StatusMisdirectedRequest && steward >= 0 && steward != node {
		v.node = steward
		v.changedAt = time.Now()
		return true
	}
	v.node = (node + 1) % nodeCount
	return false
}

// post sends a report to a node. Status 0 means that there was no response in time.
func (v *worker) post(node int, body []byte) (status int, text []byte) {
	resp, err := v.client.Post("http://"+v.world.nodes[node].serveOn+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err = io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// noteReport writes a report and its response into the record, if either is out of the ordinary.
func (v *worker) noteReport(r *report, node, status, size int, o *orders) {
	if status == http.StatusOK && len(o.Orders) == 0 && len(r.Pieces) == 0 {
		return
	}
	phases := map[string]int{}
	for _, p := range r.Pieces {
		phases[p.Phase+p.Cause]++
	}
	verbs := map[string]int{}
	for _, c := range o.Orders {
		verbs[c.Verb]++
	}
	v.world.record.note(v.UID, "report %d.%d to %s, %d bytes, %s: status %d %s", r.Tenure, r.Tick, v.world.nodes[node].name, size,
		fmt.Sprint(phases), status, fmt.Sprint(verbs))
}

// handler returns the worker's own interface.
func (v *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /commands", v.commands)
	mux.HandleFunc("GET /show", func(w http.ResponseWriter, _ *http.Request) {
		v.mu.Lock()
		body := v.report()
		v.mu.Unlock()
		answer(w, http.StatusOK, body)
	})
	return mux
}

func (v *worker) commands(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if len(body) > maxBody {
		v.world.broken("a request to the worker of %s has %d bytes", v.UID, len(body))
		answer(w, http.StatusRequestEntityTooLarge, fields{"error": "too large"})
		return
	}
	var o orders
	if err != nil || json.Unmarshal(body, &o) != nil || o.Baton == 0 || o.Tenure == 0 {
		answer(w, http.StatusBadRequest, fields{"error": "malformed"})
		return
	}
	v.mu.Lock()
	status := http.StatusConflict
	if o.Baton >= v.baton && o.Tenure == v.tenure {
		if o.Baton > v.baton {
			v.baton, v.changedAt = o.Baton, time.Now()
		}
		v.execute(o.Orders)
		status = http.StatusOK
	}
	reply := v.report()
	v.mu.Unlock()
	answer(w, status, reply)
}
