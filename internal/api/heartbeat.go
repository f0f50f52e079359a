package api

import (
	"encoding/json"
	"strings"
)

// Phases of tasks in heartbeats.
const (
	Fetching  = "pulling"   // waits for its image
	Gathering = "gathering" // of a gang: waits for the other tasks of its attempt
	Saving    = "saving"    // was told to stop and saves
	Ended     = "ended"     // see its cause
)

// Causes of a task's end.
const (
	CauseDone           = "done"       // completed
	CauseStopped        = "stopped"    // by command
	CauseError          = "error"      // failed
	CauseNoRoom         = "no_room"    // start refused: not enough free resources
	CauseBusy           = "busy"       // start refused: the machine has another attempt of the task
	CauseUnknown        = "unknown"    // start refused: no such job or task
	CausePeerLost       = "mates_gone" // of a gang: another task of it has ended
	CauseGangIncomplete = "alone"      // of a gang: it was not complete in time
)

// KnownPhase reports whether PROTOCOL, as this version knows it, has such a phase of tasks. One
// that it does not have is read as a task that runs.
func KnownPhase(s string) bool {
	switch s {
	case Fetching, Gathering, Running, Saving, Ended:
		return true
	}
	return false
}

// KnownCause reports whether PROTOCOL, as this version knows it, has such a cause of an end. One
// that it does not have is read as an end without success that is nobody's fault.
func KnownCause(s string) bool {
	switch s {
	case CauseDone, CauseStopped, CauseError, CauseNoRoom, CauseBusy, CauseUnknown, CausePeerLost, CauseGangIncomplete:
		return true
	}
	return false
}

// TaskState is one task in a heartbeat.
type TaskState struct {
	Task    string `json:"piece"` // its name, see TaskName
	Attempt uint64 `json:"try"`
	Phase   string `json:"phase"`
	Cause   string `json:"cause"` // of the end; "" before it
	Saved   bool   `json:"saved"` // its progress was saved when it was stopped
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

// Newer reports whether the heartbeat was made after the one of an agent epoch and sequence.
func (h *Heartbeat) Newer(agentEpoch, sequence uint64) bool {
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
		return nil, Refuse(StatusBadRequest, "%v", err)
	}
	if h.AgentEpoch == 0 || h.Host == "" || len(h.Host) > maxHostLength || strings.ContainsAny(h.Host, notInHost) {
		return nil, Refuse(StatusBadRequest, "host or tenure missing")
	}
	return &h, nil
}
