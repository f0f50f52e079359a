package simulator

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"violetturn/internal/api"
)

// Heartbeat returns the worker's next heartbeat.
func (w *Worker) Heartbeat() *api.Heartbeat {
	w.Sequence++
	h := &api.Heartbeat{
		Host:        w.Host,
		Addr:        w.Addr,
		MachineType: w.MachineType,
		Zone:        w.Zone,
		Spot:        w.Spot,
		AgentEpoch:  w.AgentEpoch,
		Sequence:    w.Sequence,
		Token:       w.Token,
		SpotNoticeS: w.SpotNoticeS,
		Tasks:       []api.TaskState{},
	}
	for _, t := range w.Tasks {
		h.Tasks = append(h.Tasks, api.TaskState{Task: t.name(), Attempt: t.attempt, Phase: t.phase, Cause: t.cause, Saved: t.saved})
	}
	return h
}

// encodedTask is a task in an encoded heartbeat, in the form of PROTOCOL's example.
type encodedTask struct {
	Task    string        `json:"piece"`
	Attempt uint64        `json:"try"`
	Phase   api.TaskPhase `json:"phase"`
	Cause   api.ExitCause `json:"cause,omitempty"`
	Saved   bool          `json:"saved,omitempty"`
}

// EncodeHeartbeat returns the message with the worker's next heartbeat. A worker does not send it if
// it is longer than api.MaxMessageBytes.
func (w *Worker) EncodeHeartbeat() []byte {
	heartbeat := struct {
		*api.Heartbeat
		Tasks []encodedTask `json:"pieces"`
	}{w.Heartbeat(), []encodedTask{}}
	for _, t := range heartbeat.Heartbeat.Tasks {
		heartbeat.Tasks = append(heartbeat.Tasks, encodedTask(t))
	}
	return api.MustMarshal(heartbeat)
}

// StateSummary returns a string that changes whenever a change of state requires the worker to send
// a heartbeat at once.
func (w *Worker) StateSummary() string {
	var b strings.Builder
	fmt.Fprint(&b, w.AgentEpoch, w.Token, w.SpotNoticeS != nil)
	for _, t := range w.Tasks {
		fmt.Fprint(&b, " ", t.uid, t.index, t.attempt, t.phase)
	}
	return b.String()
}

// ParseHeartbeatResponse decodes the response to a heartbeat: commands, or the controller that the
// worker has to send heartbeats to.
func ParseHeartbeatResponse(body []byte) (commands api.CommandBatch, leader string, err error) {
	var response struct {
		api.CommandBatch
		Leader string `json:"steward"`
	}
	if err := json.Unmarshal(body, &response); err != nil {
		return api.CommandBatch{}, "", fmt.Errorf("decoding the response to a heartbeat: %w", err)
	}
	return response.CommandBatch, response.Leader, nil
}

// HandleResponse handles the response to a heartbeat that was sent at the given time in the given
// agent epoch: it renews the lease and carries out the commands. It ignores a response for another
// agent epoch, with an outdated fencing token or without a token.
func (w *Worker) HandleResponse(batch api.CommandBatch, sent time.Time, agentEpoch uint64) {
	if agentEpoch != w.AgentEpoch || batch.Token < w.Token || batch.Token == 0 {
		return
	}
	w.Token = batch.Token
	if sent.After(w.renewedAt) {
		w.renewedAt = sent
	}
	w.execute(batch.Commands)
}

// checkLength records a violation if an encoded message is longer than PROTOCOL allows, and reports
// whether its receiver accepts it.
func (e *Environment) checkLength(message string, length int) bool {
	if length <= api.MaxMessageBytes {
		return true
	}
	e.RecordViolation(RuleLimits, "%s has %d bytes", message, length)
	return false
}

// ReceiveHeartbeatResponse checks the length of the response to a heartbeat and reports whether the
// worker accepts it.
func (w *Worker) ReceiveHeartbeatResponse(body []byte) bool {
	return w.env.checkLength("response to the heartbeat of "+w.Host, len(body))
}

// handleDirect carries out commands that were sent directly, unless they are for another agent
// epoch or have an outdated fencing token. It returns a heartbeat and whether the commands were
// accepted.
func (w *Worker) handleDirect(batch api.CommandBatch) (*api.Heartbeat, bool) {
	accepted := batch.Token >= w.Token && batch.AgentEpoch == w.AgentEpoch &&
		w.env.checkLength("direct command to "+w.Host, len(api.MustMarshal(batch)))
	if accepted {
		w.Token = batch.Token
		w.execute(batch.Commands)
	}
	heartbeat, err := api.ParseHeartbeat(w.EncodeHeartbeat())
	if err != nil {
		panic(err)
	}
	return heartbeat, accepted
}
