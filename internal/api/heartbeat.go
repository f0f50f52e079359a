package api

import (
	"encoding/json"
	"strings"
)

// TaskState is one task in a heartbeat.
type TaskState struct {
	Task    string    `json:"piece"` // its name, see TaskName
	Attempt uint64    `json:"try"`
	Phase   TaskPhase `json:"phase"`
	Cause   ExitCause `json:"cause"` // "" before the end
	Saved   bool      `json:"saved"` // its progress was saved when it was stopped
}

// Heartbeat is a worker's heartbeat.
type Heartbeat struct {
	Host        string      `json:"host"`
	Addr        string      `json:"addr"` // host:port for direct commands
	MachineType string      `json:"build"`
	Zone        string      `json:"site"`
	Spot        bool        `json:"loaners"`
	AgentEpoch  uint64      `json:"tenure"`  // from 1, one more each time the worker's lease expires
	Sequence    uint64      `json:"tick"`    // one more with every message of the worker
	Token       uint64      `json:"baton"`   // the highest fencing token that the worker has seen
	SpotNoticeS *float64    `json:"recallS"` // seconds until the cloud takes the machine away; nil: it doesn't
	Tasks       []TaskState `json:"pieces"`  // all on the machine, ended ones until they are cleared
}

// NewerThan reports whether the heartbeat was made after the one of an agent epoch and sequence.
func (h *Heartbeat) NewerThan(agentEpoch, sequence uint64) bool {
	return h.AgentEpoch > agentEpoch || h.AgentEpoch == agentEpoch && h.Sequence > sequence
}

const (
	maxHostLength = 100
	// notInHost are the characters that a machine's name can't have: names stand in keys and paths.
	notInHost = " /?&#%"
)

// ParseHeartbeat reads a heartbeat. Its error is a RequestError with StatusBadRequest.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var h Heartbeat
	if err := json.Unmarshal(body, &h); err != nil {
		return nil, NewRequestError(StatusBadRequest, "%v", err)
	}
	if h.AgentEpoch == 0 || h.Host == "" || len(h.Host) > maxHostLength || strings.ContainsAny(h.Host, notInHost) {
		return nil, NewRequestError(StatusBadRequest, "host or tenure missing")
	}
	return &h, nil
}
