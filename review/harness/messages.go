package main

import "encoding/json"

// guard is a condition of a transaction of the state service.
type guard struct {
	Key   string `json:"k"`
	Stamp uint64 `json:"stamp"`
}

// change is a write or a drop of a key, in a transaction or in the log of changes.
type change struct {
	Write  string          `json:"write,omitempty"`
	Drop   string          `json:"drop,omitempty"`
	Value  json.RawMessage `json:"v,omitempty"`
	Permit *uint64         `json:"permit,omitempty"`
	Stamp  uint64          `json:"stamp,omitempty"`
}

// transaction is the body of POST /multi.
type transaction struct {
	Guards []guard  `json:"guards"`
	Then   []change `json:"then"`
}

// row is a key of the state service with its value.
type row struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
}

// order is a command to a worker.
type order struct {
	Verb    string   `json:"verb"`
	Piece   string   `json:"piece"`
	Try     uint64   `json:"try"`
	LeewayS *float64 `json:"leewayS"`
}

// orders is the response to a report, or the body of POST /commands.
type orders struct {
	Baton   uint64  `json:"baton"`
	Tenure  uint64  `json:"tenure"`
	Orders  []order `json:"orders"`
	Steward string  `json:"steward"`
}

// pieceReport is the state of a task in a report.
type pieceReport struct {
	Piece string `json:"piece"`
	Try   uint64 `json:"try"`
	Phase string `json:"phase"`
	Cause string `json:"cause,omitempty"`
	Saved bool   `json:"saved,omitempty"`
}

// report is a worker's report.
type report struct {
	Host    string        `json:"host"`
	Addr    string        `json:"addr"`
	Build   string        `json:"build"`
	Site    string        `json:"site"`
	Loaners bool          `json:"loaners"`
	Tenure  uint64        `json:"tenure"`
	Tick    uint64        `json:"tick"`
	Baton   uint64        `json:"baton"`
	RecallS *float64      `json:"recallS"`
	Pieces  []pieceReport `json:"pieces"`
}

// jobSpec is a submission.
type jobSpec struct {
	UID       string   `json:"uid"`
	Lane      string   `json:"lane"`
	Owner     string   `json:"owner"`
	Shape     string   `json:"shape"`
	Rank      string   `json:"rank"`
	Pieces    int      `json:"pieces"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"gpus"`
	MemGB     float64  `json:"memGb"`
	Bundle    string   `json:"bundle"`
	SizeGB    float64  `json:"sizeGb"`
	Builds    []string `json:"builds"`
	Site      *string  `json:"site"`
	Together  bool     `json:"together"`
	Scatter   bool     `json:"scatter"`
	Loaners   bool     `json:"loaners"`
	GuessS    float64  `json:"guessS"`
	BookmarkS float64  `json:"bookmarkS"`
	StowS     float64  `json:"stowS"`
	DueS      *float64 `json:"dueS"`
}

// jobState is the answer to a question about a job.
type jobState struct {
	UID     string `json:"uid"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// build is a machine type of the cloud.
type build struct {
	Label       string   `json:"label"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemGB       float64  `json:"memGb"`
	LocalGB     float64  `json:"localGb"`
	PullGBPerS  float64  `json:"pullGbPerS"`
	Price       float64  `json:"price"`
	MarketPrice float64  `json:"marketPrice"`
	StartupS    float64  `json:"startupS"`
	Sites       []string `json:"sites"`
}

// hire is a rental request.
type hire struct {
	Hire    string `json:"hire"`
	Build   string `json:"build"`
	Site    string `json:"site"`
	Loaners bool   `json:"loaners"`
	HowMany int    `json:"howMany"`
}

// machineRow is a machine in the cloud's list.
type machineRow struct {
	UID     string  `json:"uid"`
	Addr    string  `json:"addr"`
	Build   string  `json:"build"`
	Site    string  `json:"site"`
	Loaners bool    `json:"loaners"`
	Phase   string  `json:"phase"`
	HeldS   float64 `json:"heldS"`
}
