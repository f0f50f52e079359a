package api

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
)

// Task states in reports.
const (
	Pulling   = "pulling"
	Gathering = "gathering" // of a gang: waits for the other tasks of its attempt
	Saving    = "saving"
	Ended     = "ended"
)

// Causes of a task's end.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseUnknown = "unknown"
	CauseMates   = "mates_gone" // of a gang: another task of it is gone
	CauseAlone   = "alone"      // of a gang: it was not complete in time
)

// KnownPhase and KnownCause tell whether PROTOCOL, as this version knows it, has such
// a word. What it does not have is read as a task that runs, and as an end without
// success that is nobody's fault.
func KnownPhase(s string) bool {
	switch s {
	case Pulling, Gathering, Running, Saving, Ended:
		return true
	}
	return false
}

// KnownCause is said of causes of an end.
func KnownCause(s string) bool {
	switch s {
	case CauseDone, CauseStopped, CauseError, CauseNoRoom, CauseBusy, CauseUnknown, CauseMates, CauseAlone:
		return true
	}
	return false
}

// PieceState is one task in a report.
type PieceState struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Phase string `json:"phase"`
	Cause string `json:"cause"`
	Saved bool   `json:"saved"`
}

// Checkin is a worker's report.
type Checkin struct {
	Host    string       `json:"host"`
	Addr    string       `json:"addr"`
	Build   string       `json:"build"`
	Site    string       `json:"site"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"tenure"`
	Tick    uint64       `json:"tick"`
	Token   uint64       `json:"baton"`
	RecallS *float64     `json:"recallS"`
	Pieces  []PieceState `json:"pieces"`
}

// Newer tells whether c was made after the report (tenure, tick).
func (c *Checkin) Newer(tenure, tick uint64) bool {
	return c.Session > tenure || c.Session == tenure && c.Tick > tick
}

// ParseCheckin reads a report.
func ParseCheckin(body []byte) (*Checkin, error) {
	var c Checkin
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, err
	}
	if c.Host == "" || c.Session == 0 || len(c.Host) > 100 || strings.ContainsAny(c.Host, " /?&#%") {
		return nil, errors.New("host or tenure missing")
	}
	return &c, nil
}

// Order is one command to a worker.
type Order struct {
	Verb    string   `json:"verb"`
	Piece   string   `json:"piece"`
	Try     uint64   `json:"try"`
	LeewayS *float64 `json:"leewayS,omitempty"`
}

// Verbs of orders.
const (
	Launch = "launch"
	Halt   = "halt"
	Clear  = "clear"
)

// Orders answers a report, or goes to /commands (then with a tenure).
type Orders struct {
	Token   uint64  `json:"baton"`
	Session uint64  `json:"tenure,omitempty"`
	Orders  []Order `json:"orders"`
}

// PieceName names task i of a job.
func PieceName(uid string, i int) string { return uid + "/" + strconv.Itoa(i) }

// SplitPiece takes a task's name apart.
func SplitPiece(s string) (uid string, i int, ok bool) {
	uid, n, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(n)
	return uid, i, ok && err == nil && i >= 0 && i < MaxPieces
}
