package config

import (
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the platform's file. Settings that are not named here are ignored.
type Settings struct {
	HostName      string   `toml:"host_name"`
	Zone          string   `toml:"site"`
	ServeOn       string   `toml:"serve_on"`       // host:port for users and workers
	ClusterListen string   `toml:"cluster_listen"` // host:port for the other controllers
	Members       []Member `toml:"members"`        // the other controllers
	External      External `toml:"external"`
	Facts         Facts    `toml:"facts"`

	document map[string]any // the file as a table, for whether it names a setting at all
}

// Member is another controller.
type Member struct {
	HostName string `toml:"host_name"`
	Zone     string `toml:"site"`
	Addr     string `toml:"addr"` // host:port of its cluster address
}

// External names the outside systems by host:port.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Facts is what the platform says of the deployment.
type Facts struct {
	ControllerCount int           `toml:"size"` // number of controllers, this one included
	Zones           []string      `toml:"zones"`
	TimeBoundMS     float64       `toml:"time_bound_ms"`
	Teams           []Team        `toml:"teams"`
	Objectives      []Objective   `toml:"objectives"`
	Workers         WorkerTimes   `toml:"workers"`
	State           StateFacts    `toml:"state"`
	Cloud           CloudFacts    `toml:"cloud"`
	Limits          MachineLimits `toml:"machine_limits"`
}

// Team is a team with its guarantee and its limit; 0 means none.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"` // guaranteed
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"` // guaranteed
	MaxGPUs        float64 `toml:"gpus_max"`
}

// HasLimit reports whether the team has a limit.
func (t Team) HasLimit() bool { return t.MaxCPUs > 0 || t.MaxGPUs > 0 }

// ObjectiveKind says what an objective is about. Its value is the word of the settings.
type ObjectiveKind string

// Kinds of objectives that the controller knows; it ignores others.
const (
	ObjectiveWait     ObjectiveKind = "wait"     // jobs start within the time
	ObjectiveFinished ObjectiveKind = "finished" // jobs are done within the time
)

// String returns the word of the settings.
func (k ObjectiveKind) String() string { return string(k) }

// Objective restates one aim on starting and finishing of the jobs of a class.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`
	WithinS float64       `toml:"within_s"`
	Share   float64       `toml:"share"` // of the jobs, 0 to 1
}

// WorkerTimes are the times that workers keep, in seconds.
type WorkerTimes struct {
	HeartbeatIntervalS float64 `toml:"report_s"` // between two heartbeats
	LeaseS             float64 `toml:"lease_s"`  // after which a worker that is not answered kills its tasks
	CancelTimeoutS     float64 `toml:"cancel_s"` // within which the tasks of a cancelled job have to be gone

	GangGatherTimeoutS float64 `toml:"gang_wait_s"` // for which a gang's task waits for the others
	GangPeerTimeoutS   float64 `toml:"gang_peer_s"` // within which it notices that one of them has ended
}

// StateLimits are the limits of the state service, for all controllers together.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests a second
	WriteRPS float64 `toml:"write_rps"` // changes a second
	ValueKB  float64 `toml:"value_kb"`  // size of a value
	TxnOps   int     `toml:"txn_ops"`   // changes in one transaction
}

// StateFacts is what the platform says of the state service.
type StateFacts struct {
	StateLimits
	NextLimits *StateLimits `toml:"next"` // what the limits will be from some moment on; nil: they stay
}

// CloudFacts is what the platform says of the cloud.
type CloudFacts struct {
	RPS      float64 `toml:"rps"`        // requests a second, for all controllers together
	ListLagS float64 `toml:"list_lag_s"` // seconds by which its list may lag behind
}

// MachineLimits are the limits of the machine that a controller runs on.
type MachineLimits struct {
	Cores      float64 `toml:"cores"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Load reads and checks a settings file. Its errors name the file, the field and the reason in
// one line.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := Parse(b)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

// Parse reads and checks settings. Its errors name the field and the reason in one line.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("not valid: %w", err)
	}
	if err := toml.Unmarshal(b, &s.document); err != nil {
		return nil, fmt.Errorf("not valid: %w", err)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// names reports whether the file has a setting at a path of tables.
func (s *Settings) names(path ...string) bool {
	table := s.document
	for i, name := range path {
		value, ok := table[name]
		if !ok || i == len(path)-1 {
			return ok
		}
		table, _ = value.(map[string]any)
	}
	return false
}

// HasTeamLimits reports whether any team has a limit.
func (s *Settings) HasTeamLimits() bool { return slices.ContainsFunc(s.Facts.Teams, Team.HasLimit) }

// Team finds a team by name; it reports whether there is one.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Facts.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
