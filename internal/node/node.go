package node

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/features"
)

// Info describes this controller process: its configuration, clock, random number generator and
// log. It does not change after the start of the process.
type Info struct {
	Settings    *config.Settings
	Policy      *config.Policy
	Features    *features.Features
	Log         *slog.Logger
	Now         func() time.Time
	Random      *rand.Rand
	Shards      []string // sorted names of all shards; each is the host name of the shard's home controller
	Incarnation uint64   // identifies this run of the process

	RunAsync       func(func()) // runs a function asynchronously; in production in a new goroutine
	SimulatedClock bool         // a simulation advances the clock, so code must not block until a time is reached
}

// New describes a process that is starting, with a random incarnation.
func New(settings *config.Settings, policy *config.Policy, log *slog.Logger) *Info {
	info := &Info{
		Settings:    settings,
		Policy:      policy,
		Features:    features.Default(),
		Log:         log,
		Now:         time.Now,
		Random:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Incarnation: rand.Uint64() >> 12,
		Shards:      []string{settings.HostName},
		RunAsync:    func(f func()) { go f() },
	}
	for _, member := range settings.Members {
		info.Shards = append(info.Shards, member.HostName)
	}
	slices.Sort(info.Shards)
	return info
}
