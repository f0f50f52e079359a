package simulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"violetturn/internal/api"
)

// Heartbeat makes the worker's next heartbeat.
func (x *Worker) Heartbeat() *api.Heartbeat {
	x.Sequence++
	h := &api.Heartbeat{
		Host:        x.Host,
		Addr:        x.Addr,
		MachineType: x.MachineType,
		Zone:        x.Zone,
		Spot:        x.Spot,
		AgentEpoch:  x.AgentEpoch,
		Sequence:    x.Sequence,
		Token:       x.Token,
		SpotNoticeS: x.SpotNoticeS,
		Tasks:       []api.TaskState{},
	}
	for _, t := range x.Tasks {
		h.Tasks = append(h.Tasks, api.TaskState{Task: t.name(), Attempt: t.attempt, Phase: t.phase, Cause: t.cause, Saved: t.saved})
	}
	return h
}

// StateSummary stands for all in a heartbeat whose change has the worker report at once.
func (x *Worker) StateSummary() string {
	var b strings.Builder
	fmt.Fprint(&b, x.AgentEpoch, x.Token, x.SpotNoticeS != nil)
	for _, t := range x.Tasks {
		fmt.Fprint(&b, " ", t.uid, t.index, t.attempt, t.phase)
	}
	return b.String()
}

// ParseHeartbeatResponse reads the response to a heartbeat: commands, or the controller to
// report to.
func ParseHeartbeatResponse(body []byte) (commands api.CommandBatch, leader string, err error) {
	var response struct {
		api.CommandBatch
		Leader string `json:"steward"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return api.CommandBatch{}, "", fmt.Errorf("reading the response to a heartbeat: %w", err)
	}
	return response.CommandBatch, response.Leader, nil
}

// HandleResponse takes in the response to a heartbeat that was sent at the given time in the
// given agent epoch. It ignores one of another epoch or with an outdated fencing token.
func (x *Worker) HandleResponse(o api.CommandBatch, sent time.Time, agentEpoch uint64) {
	if agentEpoch != x.AgentEpoch || o.Token < x.Token || o.Token == 0 {
		return
	}
	x.Token = o.Token
	if sent.After(x.renewedAt) {
		x.renewedAt = sent
	}
	x.execute(o.Commands)
}

// handleDirect carries out commands that were sent directly, unless they are of another
// agent epoch or have an outdated fencing token. It returns a heartbeat and whether the
// commands were carried out.
func (x *Worker) handleDirect(o api.CommandBatch) (*api.Heartbeat, bool) {
	ok := o.Token >= x.Token && o.AgentEpoch == x.AgentEpoch
	if ok {
		x.Token = o.Token
		x.execute(o.Commands)
	}
	return x.Heartbeat(), ok
}
