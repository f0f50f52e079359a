// Package config reads and checks the platform's settings file and the
// operators' policy.
package config

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Member is another controller.
type Member struct {
	HostName string `toml:"host_name"`
	Zone     string `toml:"site"`
	Addr     string `toml:"addr"`
}

// Team is a team with its guarantee and limit; 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Limited reports whether the team has a limit.
func (t Team) Limited() bool { return t.CPUsMax > 0 || t.GPUsMax > 0 }

// Objective restates one aim on starting and finishing.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"`
	Share   float64 `toml:"share"`
}

// StateLimits are the limits of the state service, for all controllers together.
type StateLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Settings is the platform's file. Unknown fields are ignored.
type Settings struct {
	HostName      string   `toml:"host_name"`
	Zone          string   `toml:"site"`
	ServeOn       string   `toml:"serve_on"`
	ClusterListen string   `toml:"cluster_listen"`
	Members       []Member `toml:"members"`
	External      struct {
		Cloud string `toml:"cloud"`
		State string `toml:"state"`
	} `toml:"external"`
	Facts struct {
		Size        int         `toml:"size"`
		Zones       []string    `toml:"zones"`
		TimeBoundMS float64     `toml:"time_bound_ms"`
		Teams       []Team      `toml:"teams"`
		Objectives  []Objective `toml:"objectives"`
		Workers     struct {
			ReportS float64 `toml:"report_s"`
			LeaseS  float64 `toml:"lease_s"`
			CancelS float64 `toml:"cancel_s"`

			GangWaitS float64 `toml:"gang_wait_s"` // a gang's task waits so long for the others
			GangPeerS float64 `toml:"gang_peer_s"` // and notices so soon that one is gone
		} `toml:"workers"`
		State struct {
			StateLimits
			Next *StateLimits `toml:"next"` // what they will be from some moment on; nil: they stay
		} `toml:"state"`
		Cloud struct {
			RPS      float64 `toml:"rps"`
			ListLagS float64 `toml:"list_lag_s"`
		} `toml:"cloud"`
		Limits struct {
			Cores      float64 `toml:"cores"`
			MemoryMB   float64 `toml:"memory_mb"`
			MaxSockets int     `toml:"max_sockets"`
		} `toml:"machine_limits"`
	} `toml:"facts"`

	document map[string]any // the file as a table: what it names at all
}

// Load reads and checks a settings file. Its errors name file, field and
// reason in one line.
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

// Parse reads and checks settings.
func Parse(b []byte) (*Settings, error) {
	var s Settings
	if err := toml.Unmarshal(b, &s); err != nil {
		return nil, fmt.Errorf("not valid: %w", err)
	}
	if err := toml.Unmarshal(b, &s.document); err != nil {
		return nil, fmt.Errorf("not valid: %w", err)
	}
	return &s, s.check()
}

// The least that the service can work under: the longest step that can't be divided
// (a placement with its shard's capacity record and its team's) takes 4 changes, and a
// submission of ordinary length has to fit a value.
const (
	minTxnOps  = 4
	minValueKB = 1
)

// The least that a controller of any deployment takes: its program and an empty replica,
// and some connections of each kind.
const (
	minMemoryMB = 16
	minSockets  = 64
)

// Processors is how many processors the process uses at once: one if the settings name
// no cores, and never more than there are.
func (s *Settings) Processors(have int) int {
	return max(1, int(min(s.Facts.Limits.Cores+0.5, float64(have))))
}

// MemoryTarget is how much memory, in bytes, the collector keeps the heap and all else
// that it knows of below: the limit counts the whole process, stacks and buffers included.
func (s *Settings) MemoryTarget() int64 {
	const most = 1 << 40 // beyond any machine, and below what a conversion can't hold
	return int64(min(s.Facts.Limits.MemoryMB, most/(1<<20)) * 0.7 * (1 << 20))
}

// hasSetting reports whether a table of settings has a value at a path.
func hasSetting(table map[string]any, path ...string) bool {
	for i, p := range path {
		v, ok := table[p]
		if !ok || i == len(path)-1 {
			return ok
		}
		table, _ = v.(map[string]any)
	}
	return false
}

// LowestLimits returns the limits that hold whatever the state service's become: the smaller
// of today's and the coming ones. Nothing new is made larger than they allow.
func (s *Settings) LowestLimits() StateLimits {
	l := s.Facts.State.StateLimits
	if n := s.Facts.State.Next; n != nil {
		l.RPS, l.WriteRPS, l.ValueKB = min(l.RPS, n.RPS), min(l.WriteRPS, n.WriteRPS), min(l.ValueKB, n.ValueKB)
		l.TxnOps = min(l.TxnOps, n.TxnOps)
	}
	return l
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// WorkerLease is how long a worker runs on after its last answered report was sent.
func (s *Settings) WorkerLease() time.Duration { return seconds(s.Facts.Workers.LeaseS) }

// HeartbeatInterval is how often a worker reports.
func (s *Settings) HeartbeatInterval() time.Duration { return seconds(s.Facts.Workers.ReportS) }

// clockDriftFactor widens a bound on another machine's clock: steady clocks differ by up
// to 0.05 per cent (PROTOCOL), doubled for two of them, doubled again.
const clockDriftFactor = 1.002

// WorkerLeaseBound is when a worker's tasks are surely dead, counted on our clock
// from the last answer it can have accepted.
func (s *Settings) WorkerLeaseBound() time.Duration {
	return time.Duration(float64(s.WorkerLease())*clockDriftFactor) + s.HeartbeatInterval()/8
}

// GangGatherTimeout is how long a task of a gang waits on its machine for the others.
func (s *Settings) GangGatherTimeout() time.Duration { return seconds(s.Facts.Workers.GangWaitS) }

// GangPeerTimeout is how soon tasks of a gang notice that one of them is gone, and within
// what time all have to be told to stop for their progress to be saved.
func (s *Settings) GangPeerTimeout() time.Duration { return seconds(s.Facts.Workers.GangPeerS) }

// DecisionInterval is how long a controller lets things come together before it commits
// again: about three changes' time at its share of the write rate, and short
// against a heartbeat interval.
func (s *Settings) DecisionInterval() time.Duration {
	return min(s.HeartbeatInterval()/12, seconds(float64(s.Facts.Size)/s.Facts.State.WriteRPS))
}

// CloudCallsPerRound is how many calls of the cloud one round of scaling takes of each kind as a rule.
const CloudCallsPerRound = 2

// AutoscaleInterval is the time between two rounds of scaling: a few calls of this
// controller's share of the cloud's rate, and short against a heartbeat interval.
func (s *Settings) AutoscaleInterval() time.Duration {
	share := s.Facts.Cloud.RPS / float64(s.Facts.Size)
	return min(s.HeartbeatInterval()/3, seconds(CloudCallsPerRound/share))
}

// ReadInterval is how far apart reads for users' questions are at least: about a
// quarter of this controller's share of the request rate.
func (s *Settings) ReadInterval() time.Duration {
	return seconds(4 * float64(s.Facts.Size) / s.Facts.State.RPS)
}

// ControllerLeaseTTL is the life of a controller's hold: two heartbeat interval, so that
// others take over before the workers' leases run out.
func (s *Settings) ControllerLeaseTTL() time.Duration {
	return max(min(2*s.HeartbeatInterval(), s.WorkerLease()/3), 500*time.Millisecond)
}

// LeadershipGrace is how long after its lease may have ended a leader still answers
// reports when it can't reach the store. A cancellation it can't see must end
// within cancel_s even so: hold, grace and lease together stay below that.
func (s *Settings) LeadershipGrace() time.Duration {
	return max(0, min(2*s.WorkerLease(), s.cancelMargin()-s.ControllerLeaseTTL()))
}

// MaxStaleness is how long after it last read the changes a leader may answer heartbeats: a
// cancellation committed since then is not known to it, and its tasks must be gone
// within cancel_s.
func (s *Settings) MaxStaleness() time.Duration {
	return max(s.ControllerLeaseTTL(), s.cancelMargin())
}

// cancelMargin is what cancel_s leaves besides a worker's lease.
func (s *Settings) cancelMargin() time.Duration {
	return seconds(s.Facts.Workers.CancelS/clockDriftFactor) - s.WorkerLeaseBound() - s.HeartbeatInterval()/4
}

// ConfirmsCancelWhenEmpty reports whether a cancellation is confirmed only when the last task of
// the job is off its machine. It has to be where cancel_s leaves a leader less time
// besides a lease than it needs to renew its lease: no answer of it would be safe then.
func (s *Settings) ConfirmsCancelWhenEmpty() bool { return s.cancelMargin() < s.ControllerLeaseTTL() }

// HasTeamLimits reports whether any team has a limit.
func (s *Settings) HasTeamLimits() bool { return slices.ContainsFunc(s.Facts.Teams, Team.Limited) }

// Team finds a team by name.
func (s *Settings) Team(name string) (Team, bool) {
	for _, t := range s.Facts.Teams {
		if t.Name == name {
			return t, true
		}
	}
	return Team{}, false
}
