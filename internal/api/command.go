package api

// Command is one command to a worker.
type Command struct {
	Action  CommandAction `json:"verb"`
	Task    string        `json:"piece"` // its name, see TaskName
	Attempt uint64        `json:"try"`
	GraceS  *float64      `json:"leewayS,omitempty"` // of a stop, in seconds
}

// CommandBatch is what a worker is told: in the answer to a heartbeat, or directly at /commands,
// then with the agent epoch that it is meant for.
type CommandBatch struct {
	Token      uint64    `json:"baton"` // the leader's fencing token
	AgentEpoch uint64    `json:"tenure,omitempty"`
	Commands   []Command `json:"orders"`
}
