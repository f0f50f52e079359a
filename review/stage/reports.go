package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// answerTimeout is how long a worker waits for the answer to a report.
const answerTimeout = 4 * time.Second

// startWorker starts the worker of a machine once it has booted.
func (w *world) startWorker(m *worker) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.record.note("worker: %s: %v", m.host, err)
		return
	}
	m.world, m.listener, m.addr, m.images = w, listener, listener.Addr().String(), map[string]bool{}
	go func() {
		time.Sleep(time.Until(m.bootedAt))
		m.mu.Lock()
		m.tenure, m.answered, m.node = 1, time.Now(), rand.IntN(len(w.controllers))
		m.mu.Unlock()
		mux := http.NewServeMux()
		mux.HandleFunc("POST /commands", m.serveCommands)
		mux.HandleFunc("GET /show", m.serveShow)
		go func() { _ = http.Serve(listener, mux) }()
		m.run()
	}()
}

// run advances the machine and sends its reports until it ends.
func (w *worker) run() {
	answers := make(chan func(), 1)
	inFlight := false
	var lastSent time.Time
	next := time.Now()
	for range time.Tick(20 * time.Millisecond) {
		select {
		case apply := <-answers:
			inFlight = false
			apply()
		default:
		}
		w.mu.Lock()
		now := time.Now()
		if w.gone {
			w.mu.Unlock()
			return
		}
		w.advance(now)
		due := now.After(next) || w.changed && now.Sub(lastSent) >= 500*time.Millisecond
		if inFlight || !due {
			w.mu.Unlock()
			continue
		}
		lastSent, inFlight, w.changed = now, true, false
		next = now.Add(time.Duration((0.75 + rand.Float64()/2) * float64(w.world.reportEvery)))
		sent, node := w.makeReport(), w.node
		w.mu.Unlock()
		go func() { answers <- w.sendReport(sent, node, now) }()
	}
}

// sendReport sends a report to a controller and returns what the answer does to the worker.
func (w *worker) sendReport(r report, node int, sent time.Time) func() {
	status, answer := w.world.post(node, r)
	moves := status != http.StatusOK && (status != http.StatusMisdirectedRequest || w.world.indexOf(answer.Steward) < 0 ||
		w.world.indexOf(answer.Steward) == node)
	if moves {
		time.Sleep(time.Second)
	}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case moves:
			w.node, w.changed = (node+1)%len(w.world.controllers), true
		case status == http.StatusMisdirectedRequest:
			w.node, w.changed = w.world.indexOf(answer.Steward), true
		case r.Tenure == w.tenure && answer.Baton >= w.baton && answer.Baton > 0 && time.Since(sent) <= answerTimeout:
			w.answered = sent
			w.raise(answer.Baton)
			w.execute(answer.Orders)
		}
	}
}

// post sends a report to a controller.
func (w *world) post(node int, r report) (status int, answer orders) {
	body, err := json.Marshal(r)
	if err != nil {
		return 0, orders{}
	}
	response, err := w.workerClient.Post("http://"+w.controllers[node].serveOn+"/checkin", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0, orders{}
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil || json.Unmarshal(raw, &answer) != nil {
		return 0, orders{}
	}
	return response.StatusCode, answer
}
