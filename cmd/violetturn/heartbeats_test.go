package main

import (
	"fmt"
	"sync"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/simulator"
)

// heartbeatSchedule is the state of a worker's heartbeats.
type heartbeatSchedule struct {
	next        time.Time // when the next heartbeat is due, unless the summary changes earlier
	lastSummary string    // summary of the tasks in the last heartbeat; a different summary is sent early
	sending     bool      // a heartbeat is in flight
}

// simulateWorkers sends the heartbeats of the simulated workers.
func (c *cluster) simulateWorkers() {
	schedules := map[string]*heartbeatSchedule{}
	var mu sync.Mutex // guards schedules and its values
	c.runPeriodically(100*time.Millisecond, func() {
		c.server.WithLock(func(env *simulator.Environment) {
			mu.Lock()
			defer mu.Unlock()
			for _, host := range env.Cloud.HostNames() {
				worker := env.Cloud.WorkersByHost[host]
				schedule := schedules[host]
				if schedule == nil {
					schedule = &heartbeatSchedule{}
					schedules[host] = schedule
				}
				summary := ""
				if worker.Booted() && !worker.Partitioned && !schedule.sending {
					summary = worker.StateSummary()
				}
				interval := time.Duration(c.deployment.HeartbeatIntervalS * float64(time.Second))
				// A changed summary is sent about half a second after the last heartbeat at the earliest.
				earliest := schedule.next.Add(500*time.Millisecond - interval)
				if summary == "" || env.Now.Before(schedule.next) && (summary == schedule.lastSummary || env.Now.Before(earliest)) {
					continue
				}
				schedule.lastSummary, schedule.sending = summary, true
				intervalFactor := 0.75 + 0.5*float64(c.randomBelow(1000))/1000
				schedule.next = env.Now.Add(time.Duration(intervalFactor * c.deployment.HeartbeatIntervalS * float64(time.Second)))
				heartbeat, sentAt, agentEpoch, node := api.MustMarshal(worker.Heartbeat()), env.Now, worker.AgentEpoch, worker.NodeIndex
				c.running.Go(func() {
					c.sendHeartbeat(host, node, heartbeat, sentAt, agentEpoch)
					mu.Lock()
					schedule.sending = false
					mu.Unlock()
				})
			}
		})
	})
}

// sendHeartbeat sends a worker's heartbeat and passes the response to the worker.
func (c *cluster) sendHeartbeat(host string, node int, heartbeat []byte, sentAt time.Time, agentEpoch uint64) {
	status, body := c.sendRequest(node, "POST", "/checkin", heartbeat)
	c.server.WithLock(func(env *simulator.Environment) {
		worker := env.Cloud.WorkersByHost[host]
		if worker == nil || worker.Partitioned { // the response is lost
			return
		}
		batch, leader, err := simulator.ParseHeartbeatResponse(body)
		switch {
		case status == 200 && err != nil:
			c.tb.Errorf("heartbeat response of controller %d: %v", node, err)
		case status == 200:
			worker.HandleResponse(batch, sentAt, agentEpoch)
		case status == 421 && leader != "":
			if _, err := fmt.Sscanf(leader, "n%d", &worker.NodeIndex); err != nil {
				c.tb.Error(err)
			}
		default:
			worker.NodeIndex = (node + 1) % controllerCount
		}
	})
}
