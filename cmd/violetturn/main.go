// Command violetturn runs one controller of the cluster scheduler.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"violetturn/internal/config"
	"violetturn/internal/controller"
	"violetturn/internal/features"
)

var version = "0.1.0"

type cli struct {
	Config   string           `help:"Settings file (TOML) that the platform hands over." required:"" type:"path" placeholder:"FILE"`
	Policy   string           `help:"Policy file (TOML) with the operators' own expressions. Built-in policy without it." type:"path" placeholder:"FILE"`
	Features string           `help:"Features file (TOML): new behaviour that is on. None without it." type:"path" placeholder:"FILE"`
	Profile  string           `help:"Folder for profiles of processor, memory and the state's lock, written when the process is stopped." type:"path" placeholder:"DIR"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
	Serve    struct{}         `cmd:"" default:"1" help:"Run a controller (the default)."`
	Check    struct{}         `cmd:"" help:"Check the settings, and the policy and features if given, and exit."`
}

// exitUsage is the exit code for bad settings or arguments: nothing was served.
const exitUsage = 2

func main() { os.Exit(run()) }

func run() int {
	var args cli
	parser := kong.Must(
		&args,
		kong.Name("violetturn"),
		kong.Description(
			"A cluster scheduler run as several controllers that share a state service. Logs to standard error; the variable LOG_LEVEL is error, info (the default) or debug.",
		),
		kong.Vars{"version": version},
		kong.UsageOnError(),
	)
	ctx, err := parser.Parse(os.Args[1:])
	if err != nil {
		fmt.Fprintf(os.Stderr, "violetturn: %v\n", err)
		return exitUsage
	}
	level, err := logLevel(os.Getenv("LOG_LEVEL"))
	if err != nil {
		fmt.Fprintf(os.Stderr, "violetturn: %v\n", err)
		return exitUsage
	}
	in, err := readInputs(&args)
	if err != nil {
		fmt.Fprintf(os.Stderr, "violetturn: %v\n", err)
		return exitUsage
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	for _, x := range in.policy.DeprecatedNames() {
		log.Warn("policy uses a deprecated variable", "old", x.Old, "new", x.New)
	}
	if ctx.Command() == "check" {
		fmt.Printf("%s: in order\n", args.Config)
		return 0
	}
	// One core's share and little memory: one running thread, and a collector
	// that works harder before the limit instead of being killed at it.
	runtime.GOMAXPROCS(in.settings.Processors(runtime.NumCPU()))
	debug.SetMemoryLimit(in.settings.MemoryTarget())
	// What lives is small against the limit, and plans make much that is soon
	// garbage: collecting a quarter as often saves processor time, of which there
	// is less. The limit above still holds.
	debug.SetGCPercent(400)
	c, err := controller.New(in.settings, in.policy, in.features, log)
	if err != nil {
		log.Error("not started", "err", err)
		return 1
	}
	if args.Profile != "" {
		end, err := startProfile(args.Profile, c)
		if err != nil {
			fmt.Fprintf(os.Stderr, "violetturn: --profile: %v\n", err)
			return exitUsage
		}
		defer end(log)
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := c.Run(stop); err != nil {
		log.Error("ended", "err", err)
		return 1
	}
	return 0
}

// inputs are the files that a controller is started with, read and checked.
type inputs struct {
	settings *config.Settings
	policy   *config.Policy
	features *features.Features
}

func readInputs(args *cli) (in inputs, err error) {
	if in.settings, err = config.Load(args.Config); err != nil {
		return in, err
	}
	if in.policy, err = config.LoadPolicy(args.Policy); err != nil {
		return in, err
	}
	in.features, err = features.Load(args.Features)
	return in, err
}

func logLevel(s string) (slog.Level, error) {
	switch strings.ToLower(s) {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("LOG_LEVEL: %q is none of error, info, debug", s)
}
