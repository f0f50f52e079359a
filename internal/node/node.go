package node

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"violetturn/internal/config"
	"violetturn/internal/features"
)

// Info is this controller process: what it was started with, its clock, its source of
// randomness and its log. It does not change after the start.
type Info struct {
	Settings    *config.Settings
	Policy      *config.Policy
	Features    *features.Features
	Log         *slog.Logger
	Now         func() time.Time
	Random      *rand.Rand
	Shards      []string // all shards, by the name of their home controller, sorted
	Incarnation uint64   // this life of the process

	RunAsync       func(func()) // runs work in a goroutine of its own
	SimulatedClock bool         // time is advanced from outside: nothing may wait for it
}

// New makes the info of a process that starts now, with a random incarnation.
func New(settings *config.Settings, policy *config.Policy, log *slog.Logger) *Info {
	n := &Info{
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
	for _, m := range settings.Members {
		n.Shards = append(n.Shards, m.HostName)
	}
	slices.Sort(n.Shards)
	return n
}
