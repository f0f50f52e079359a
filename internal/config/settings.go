package config

import (
	"fmt"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the content of the platform's settings file. Other settings in the file are ignored.
type Settings struct {
	HostName      string   `toml:"host_name"`
	Zone          string   `toml:"site"`
	ServeOn       string   `toml:"serve_on"`       // host:port for users and workers
	ClusterListen string   `toml:"cluster_listen"` // host:port for the other controllers
	Members       []Member `toml:"members"`        // the other controllers
	External      External `toml:"external"`
	Facts         Facts    `toml:"facts"`

	document map[string]any // the whole file as a table, to tell an unset setting from a zero
}

// Member is another controller.
type Member struct {
	HostName string `toml:"host_name"`
	Zone     string `toml:"site"`
	Addr     string `toml:"addr"` // host:port of its cluster address
}

// External holds the addresses (host:port) of the external systems.
type External struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Facts describes the deployment.
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

// Team is a team with its guaranteed resources and its limits; 0 means no guarantee or no limit.
type Team struct {
	Name           string  `toml:"name"`
	GuaranteedCPUs float64 `toml:"cpus"` // guaranteed
	MaxCPUs        float64 `toml:"cpus_max"`
	GuaranteedGPUs float64 `toml:"gpus"` // guaranteed
	MaxGPUs        float64 `toml:"gpus_max"`
}

// HasLimit reports whether the team has a limit.
func (t Team) HasLimit() bool { return t.MaxCPUs > 0 || t.MaxGPUs > 0 }

// ObjectiveKind is what an objective measures. The value is the word used in the settings.
type ObjectiveKind string

// Supported kinds of objectives; others are ignored.
const (
	ObjectiveWait     ObjectiveKind = "wait"     // a share of the jobs starts within the time
	ObjectiveFinished ObjectiveKind = "finished" // a share of the jobs is done within the time
)

// String returns the word used in the settings.
func (k ObjectiveKind) String() string { return string(k) }

// Objective is a service level objective for the start or the end of the jobs of a class.
type Objective struct {
	Kind    ObjectiveKind `toml:"kind"`
	Class   string        `toml:"class"`
	WithinS float64       `toml:"within_s"`
	Share   float64       `toml:"share"` // of the jobs, 0 to 1
}

// WorkerTimes holds the workers' intervals and timeouts, in seconds.
type WorkerTimes struct {
	HeartbeatIntervalS float64 `toml:"report_s"` // interval between heartbeats
	LeaseS             float64 `toml:"lease_s"`  // a worker whose heartbeats are not answered for this long kills its tasks
	CancelTimeoutS     float64 `toml:"cancel_s"` // the tasks of a cancelled job have to end within this time

	GangGatherTimeoutS float64 `toml:"gang_wait_s"` // how long a task of a gang waits for the others to start
	GangPeerTimeoutS   float64 `toml:"gang_peer_s"` // within this time it detects that another one has ended
}

// StateLimits holds the limits of the state service, shared by all controllers.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests a second
	WriteRPS float64 `toml:"write_rps"` // writes a second
	ValueKB  float64 `toml:"value_kb"`  // largest size of a value in KiB
	TxnOps   int     `toml:"txn_ops"`   // most writes in one transaction
}

// StateFacts describes the state service.
type StateFacts struct {
	StateLimits
	NextLimits *StateLimits `toml:"next"` // announced limits that apply from a later time on; nil if none are announced
}

// CloudFacts describes the cloud.
type CloudFacts struct {
	RPS      float64 `toml:"rps"`        // requests a second, shared by all controllers
	ListLagS float64 `toml:"list_lag_s"` // most seconds that its list of machines may be out of date
}

// MachineLimits holds the limits of the machine that a controller runs on.
type MachineLimits struct {
	Cores      float64 `toml:"cores"`
	MemoryMB   float64 `toml:"memory_mb"`
	MaxSockets int     `toml:"max_sockets"`
}

// Load reads and checks a settings file. Errors are one line that names the file, the field and the
// reason.
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

// Parse parses and checks settings. Errors are one line that names the field and the reason. Numbers
// that are too large to calculate with count as the largest that is not.
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
	s.boundNumbers()
	return &s, nil
}

// isSet reports whether the file contains the setting at the given path of table and key names.
func (s *Settings) isSet(path ...string) bool {
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

// Team returns the team with the given name, and whether it exists.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Facts.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
