package api

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
)

// Task states in reports.
const (
	Fetching  = "pulling"
	Gathering = "gathering" // of a gang: waits for the other tasks of its attempt
	Saving    = "saving"
	Ended     = "ended"
)

// Causes of a task's end.
const (
	CauseDone           = "done"
	CauseStopped        = "stopped"
	CauseError          = "error"
	CauseNoRoom         = "no_room"
	CauseBusy           = "busy"
	CauseUnknown        = "unknown"
	CausePeerLost       = "mates_gone" // of a gang: another task of it is gone
	CauseGangIncomplete = "alone"      // of a gang: it was not complete in time
)

// KnownPhase and KnownCause report whether PROTOCOL, as this version knows it, has such
// a word. What it does not have is read as a task that runs, and as an end without
// success that is nobody's fault.
func KnownPhase(s string) bool {
	switch s {
	case Fetching, Gathering, Running, Saving, Ended:
		return true
	}
	return false
}

// KnownCause is said of causes of an end.
func KnownCause(s string) bool {
	switch s {
	case CauseDone, CauseStopped, CauseError, CauseNoRoom, CauseBusy, CauseUnknown, CausePeerLost, CauseGangIncomplete:
		return true
	}
	return false
}

// TaskState is one task in a heartbeat.
type TaskState struct {
	Task    string `json:"piece"`
	Attempt uint64 `json:"try"`
	Phase   string `json:"phase"`
	Cause   string `json:"cause"`
	Saved   bool   `json:"saved"`
}

// Heartbeat is a worker's heartbeat.
type Heartbeat struct {
	Host        string      `json:"host"`
	Addr        string      `json:"addr"`
	MachineType string      `json:"build"`
	Zone        string      `json:"site"`
	Spot        bool        `json:"loaners"`
	AgentEpoch  uint64      `json:"tenure"`
	Sequence    uint64      `json:"tick"`
	Token       uint64      `json:"baton"`
	SpotNoticeS *float64    `json:"recallS"`
	Tasks       []TaskState `json:"pieces"`
}

// Newer reports whether c was made after the heartbeat (agent revision, tick).
func (c *Heartbeat) Newer(agentEpoch, tick uint64) bool {
	return c.AgentEpoch > agentEpoch || c.AgentEpoch == agentEpoch && c.Sequence > tick
}

// ParseHeartbeat reads a heartbeat.
func ParseHeartbeat(body []byte) (*Heartbeat, error) {
	var c Heartbeat
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if c.Host == "" || c.AgentEpoch == 0 || len(c.Host) > 100 || strings.ContainsAny(c.Host, " /?&#%") {
		return nil, errors.New("host or tenure missing")
	}
	return &c, nil
}

// Command is one command to a worker.
type Command struct {
	Action  string   `json:"verb"`
	Task    string   `json:"piece"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"leewayS,omitempty"`
}

// Verbs of orders.
const (
	Launch = "launch"
	Stop   = "halt"
	Clear  = "clear"
)

// CommandBatch answers a heartbeat, or goes to /commands (then with a agent revision).
type CommandBatch struct {
	Token      uint64    `json:"baton"`
	AgentEpoch uint64    `json:"tenure,omitempty"`
	Commands   []Command `json:"orders"`
}

// TaskName names task i of a job.
func TaskName(uid string, i int) string { return uid + "/" + strconv.Itoa(i) }

// SplitTaskName takes a task's name apart.
func SplitTaskName(s string) (uid string, i int, ok bool) {
	uid, n, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(n)
	return uid, i, ok && err == nil && i >= 0 && i < MaxTasks
}
