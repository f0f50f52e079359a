// Command violetturn runs one controller of the cluster scheduler.
//
// It reads its settings, and the policy and features if given, refuses them with one line on
// standard error, and else serves until it is told to stop by SIGTERM or SIGINT. Its exit code
// is exitOK after such a stop, exitFailed if it could not serve, and exitUsage for arguments or
// files that it refuses: then nothing was served.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"

	"violetturn/internal/config"
	"violetturn/internal/controller"
	"violetturn/internal/features"
)

// Exit codes. The platform reads them, so they stay.
const (
	exitOK     = 0
	exitFailed = 1 // the controller could not start, or stopped serving by itself
	exitUsage  = 2 // bad arguments, settings, policy or features: nothing was served
)

// logLevelVariable is the environment variable that names the log level.
const logLevelVariable = "LOG_LEVEL"

// collectorPercent is how much the heap may grow between two collections. What lives is small
// against the limit, and plans make much that is soon garbage: collecting a quarter as often as
// by default saves processor time, of which there is less. The memory limit still holds.
const collectorPercent = 400

func main() { os.Exit(run()) }

// run does what the arguments name and returns the exit code.
func run() int {
	args, command, err := parseArguments(os.Args[1:])
	if err != nil {
		return refuse(os.Stderr, err)
	}
	level, err := logLevel(os.Getenv(logLevelVariable))
	if err != nil {
		return refuse(os.Stderr, err)
	}
	in, err := readInputs(args)
	if err != nil {
		return refuse(os.Stderr, err)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	warnOfDeprecatedNames(log, in.policy)
	if command == commandCheck {
		fmt.Printf("%s: in order\n", args.Config)
		return exitOK
	}
	return runController(in, args.Profile, log)
}

// refuse writes an error of arguments or files and returns the exit code for it.
func refuse(to io.Writer, err error) int {
	_, _ = fmt.Fprintf(to, "violetturn: %v\n", err) // nobody is left to tell if that fails
	return exitUsage
}

// runController runs a controller until a signal to stop, and writes profiles into a folder unless that
// is "". It returns the exit code.
func runController(in inputs, profileDir string, log *slog.Logger) int {
	limitResources(in.settings)
	c, err := controller.New(in.settings, in.policy, in.features, log)
	if err != nil {
		log.Error("not started", "err", err)
		return exitFailed
	}
	if profileDir != "" {
		end, err := startProfile(profileDir, c)
		if err != nil {
			return refuse(os.Stderr, fmt.Errorf("--profile: %w", err))
		}
		defer end(log)
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := c.Run(stop); err != nil {
		log.Error("ended", "err", err)
		return exitFailed
	}
	return exitOK
}

// limitResources keeps the process within what the settings leave it: as many running threads
// as it has processors, and a collector that works harder before the memory limit instead of a
// process that is killed at it.
func limitResources(s *config.Settings) {
	runtime.GOMAXPROCS(s.MaxProcs(runtime.NumCPU()))
	debug.SetMemoryLimit(s.MemoryTarget())
	debug.SetGCPercent(collectorPercent)
}

// inputs are the files that a controller is started with, read and checked.
type inputs struct {
	settings *config.Settings
	policy   *config.Policy
	features *features.Features
}

// readInputs reads and checks the files that the arguments name, in the order of their flags.
func readInputs(args *arguments) (in inputs, err error) {
	if in.settings, err = config.Load(args.Config); err != nil {
		return in, err
	}
	if in.policy, err = config.LoadPolicy(args.Policy); err != nil {
		return in, err
	}
	in.features, err = features.Load(args.Features)
	return in, err
}

// warnOfDeprecatedNames logs the variables that a policy names as they were called earlier.
func warnOfDeprecatedNames(log *slog.Logger, policy *config.Policy) {
	for _, name := range policy.DeprecatedNames() {
		log.Warn("policy uses a deprecated variable", "old", name.Old, "new", name.New)
	}
}

// logLevel returns the log level of a name; the default is info.
func logLevel(name string) (slog.Level, error) {
	switch strings.ToLower(name) {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("%s: %q is none of error, info, debug", logLevelVariable, name)
}
