package main

import (
	"fmt"
	"sync"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// heartbeatSchedule is when a worker sends its next heartbeat.
type heartbeatSchedule struct {
	next    time.Time
	sent    string // summary of the last heartbeat's tasks; another one is sent sooner
	sending bool
}

// playWorkers has the machines' workers send heartbeats.
func (c *cluster) playWorkers() {
	known := map[string]*heartbeatSchedule{}
	var mu sync.Mutex // guards known and what is in it
	c.every(100*time.Millisecond, func() {
		c.server.WithLock(func(w *simulator.Environment) {
			mu.Lock()
			defer mu.Unlock()
			for _, host := range w.Cloud.HostNames() {
				x := w.Cloud.WorkersByHost[host]
				r := known[host]
				if r == nil {
					r = &heartbeatSchedule{}
					known[host] = r
				}
				state := ""
				if x.Booted() && !x.Partitioned && !r.sending {
					state = x.StateSummary()
				}
				interval := time.Duration(c.deployment.HeartbeatS * float64(time.Second))
				soonest := r.next.Add(500*time.Millisecond - interval)
				if state == "" || w.Now.Before(r.next) && (state == r.sent || w.Now.Before(soonest)) {
					continue
				}
				r.sent, r.sending = state, true
				intervals := 0.75 + 0.5*float64(c.randomBelow(1000))/1000
				r.next = w.Now.Add(time.Duration(intervals * c.deployment.HeartbeatS * float64(time.Second)))
				heartbeat, sent, agentEpoch, node := api.MustMarshal(x.Heartbeat()), w.Now, x.AgentEpoch, x.Node
				c.running.Go(func() {
					c.sendHeartbeat(host, node, heartbeat, sent, agentEpoch)
					mu.Lock()
					r.sending = false
					mu.Unlock()
				})
			}
		})
	})
}

// sendHeartbeat sends a worker's heartbeat and has the worker take in the answer.
func (c *cluster) sendHeartbeat(host string, node int, heartbeat []byte, sent time.Time, agentEpoch uint64) {
	status, body := c.send(node, "POST", "/checkin", heartbeat)
	c.server.WithLock(func(w *simulator.Environment) {
		x := w.Cloud.WorkersByHost[host]
		if x == nil || x.Partitioned { // the answer is lost
			return
		}
		batch, leader, err := simulator.ParseHeartbeatResponse(body)
		switch {
		case status == 200 && err != nil:
			c.b.Error(err)
		case status == 200:
			x.HandleResponse(batch, sent, agentEpoch)
		case status == 421 && leader != "":
			if _, err := fmt.Sscanf(leader, "n%d", &x.Node); err != nil {
				c.b.Error(err)
			}
		default:
			x.Node = (node + 1) % processNodes
		}
	})
}
