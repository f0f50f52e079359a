package api

// Command directs a worker to launch, stop or clear one task.
type Command struct {
	Action  CommandAction `json:"verb"`
	Task    string        `json:"piece"` // name of the task, see TaskName
	Attempt uint64        `json:"try"`
	GraceS  *float64      `json:"leewayS,omitempty"` // stop command: seconds that the task has to save its progress; nil: none
}

// CommandBatch is a list of commands for one worker. It is sent in the response to a heartbeat, or
// directly to the worker's /commands path and then states the agent epoch for which it is meant.
type CommandBatch struct {
	Token      uint64    `json:"baton"` // fencing token of the shard's leader
	AgentEpoch uint64    `json:"tenure,omitempty"`
	Commands   []Command `json:"orders"`
}
