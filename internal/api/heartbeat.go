package api

import (
	"encoding/json"
	"strings"

	"violetturn/internal/numeric"
)

// TaskState is the state of one task in a heartbeat.
type TaskState struct {
	Task    string    `json:"piece"` // name of the task, see TaskName
	Attempt uint64    `json:"try"`
	Phase   TaskPhase `json:"phase"`
	Cause   ExitCause `json:"cause"` // "" until the task has ended
	Saved   bool      `json:"saved"` // whether the progress was saved when the task was stopped
}

// Heartbeat is the message with which a worker regularly reports its state to its shard's leader.
type Heartbeat struct {
	Host        string      `json:"host"`
	Addr        string      `json:"addr"` // host:port that accepts direct commands
	MachineType string      `json:"build"`
	Zone        string      `json:"site"`
	Spot        bool        `json:"loaners"`
	AgentEpoch  uint64      `json:"tenure"`  // starts at 1, increases each time the worker's lease expires
	Sequence    uint64      `json:"tick"`    // increases with each message of the worker
	Token       uint64      `json:"baton"`   // highest fencing token that the worker has received
	SpotNoticeS *float64    `json:"recallS"` // seconds until the cloud reclaims the spot machine; nil: no notice
	Tasks       []TaskState `json:"pieces"`  // all tasks on the machine; ended tasks until they are cleared

	encodedBytes int // length of the message that it was parsed from; 0: not parsed from one
}

// EncodedBytes returns the length of the message with the heartbeat: of the one that it was parsed
// from, otherwise an upper bound for the encoding of PROTOCOL's example.
func (h *Heartbeat) EncodedBytes() int {
	if h.encodedBytes > 0 {
		return h.encodedBytes
	}
	bytes := heartbeatHeaderBytes
	for i := range h.Tasks {
		bytes += h.Tasks[i].entryBytes()
	}
	return bytes
}

// NewerThan reports whether the worker sent the heartbeat after the one with the given agent epoch
// and sequence number.
func (h *Heartbeat) NewerThan(agentEpoch, sequence uint64) bool {
	return h.AgentEpoch > agentEpoch || h.AgentEpoch == agentEpoch && h.Sequence > sequence
}

const (
	maxHostLength = 100
	// forbiddenHostCharacters may not occur in a machine's name, which is part of keys and paths.
	forbiddenHostCharacters = " /?&#%"
)

// ParseHeartbeat parses a heartbeat. Its error is a RequestError with StatusBadRequest.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var h Heartbeat
	if json.Unmarshal(body, &h) != nil {
		return nil, NewRequestError(StatusBadRequest, "malformed heartbeat") // the decoder's error may be as long as the message
	}
	h.encodedBytes = len(body)
	if h.AgentEpoch == 0 || h.Host == "" || len(h.Host) > maxHostLength || strings.ContainsAny(h.Host, forbiddenHostCharacters) {
		return nil, NewRequestError(StatusBadRequest, "host or tenure missing")
	}
	if h.SpotNoticeS != nil {
		numeric.Amounts(h.SpotNoticeS)
	}
	return &h, nil
}
