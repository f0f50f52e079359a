// Command violetturn runs one controller of the cluster scheduler.
//
// It reads its settings file, and the policy and features files if given. If one is invalid, it
// prints a one-line error to standard error and exits. Otherwise it serves until it receives
// SIGTERM or SIGINT. The exit code is exitOK after such a signal, exitFailed if the controller could
// not start or stopped because of an error, and exitUsage if the arguments or files were invalid.
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

// Exit codes. The platform interprets them, so they must not change.
const (
	exitOK     = 0
	exitFailed = 1 // the controller could not start, or stopped because of an error
	exitUsage  = 2 // invalid arguments, settings, policy or features; the controller was not started
)

// logLevelEnv is the environment variable that sets the log level.
const logLevelEnv = "LOG_LEVEL"

// gcPercent is how much the heap may grow between two garbage collections, in per cent of the live
// heap. The live heap is small compared with the memory limit, and scheduling plans allocate many
// short-lived objects. Collecting a quarter as often as by default saves CPU time, which is scarcer
// than memory. The memory limit still applies.
const gcPercent = 400

func main() { os.Exit(run()) }

// run executes the command given by the arguments and returns the exit code.
func run() int {
	args, command, err := parseArguments(os.Args[1:])
	if err != nil {
		return reportUsageError(os.Stderr, err)
	}
	level, err := logLevel(os.Getenv(logLevelEnv))
	if err != nil {
		return reportUsageError(os.Stderr, err)
	}
	in, err := readInputs(args)
	if err != nil {
		return reportUsageError(os.Stderr, err)
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	warnOfDeprecatedNames(log, in.policy)
	if command == commandCheck {
		fmt.Printf("%s: in order\n", args.Config)
		return exitOK
	}
	return runController(in, args.Profile, log)
}

// reportUsageError prints an error in the arguments or files and returns the exit code for it.
func reportUsageError(w io.Writer, err error) int {
	_, _ = fmt.Fprintf(w, "violetturn: %v\n", err) // a failure to print can't be reported anywhere
	return exitUsage
}

// runController runs a controller until SIGTERM or SIGINT and returns the exit code. If profileDir
// is not empty, it writes profiles into that folder.
func runController(in inputs, profileDir string, log *slog.Logger) int {
	limitResources(in.settings)
	c, err := controller.New(in.settings, in.policy, in.features, log)
	if err != nil {
		log.Error("not started", "err", err)
		return exitFailed
	}
	if profileDir != "" {
		stopProfile, err := startProfile(profileDir, c)
		if err != nil {
			return reportUsageError(os.Stderr, fmt.Errorf("--profile: %w", err))
		}
		defer stopProfile(log)
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := c.Run(ctx); err != nil {
		log.Error("ended", "err", err)
		return exitFailed
	}
	return exitOK
}

// limitResources applies the machine limits of the settings to the Go runtime: the number of threads
// that run at once, and a soft memory limit, near which the garbage collector runs more often, so
// that the process isn't killed for exceeding the machine's limit.
func limitResources(s *config.Settings) {
	runtime.GOMAXPROCS(s.MaxProcs(runtime.NumCPU()))
	debug.SetMemoryLimit(s.MemoryTarget())
	debug.SetGCPercent(gcPercent)
}

// inputs holds the contents of the files that a controller is started with.
type inputs struct {
	settings *config.Settings
	policy   *config.Policy
	features *features.Features
}

// readInputs reads and checks the files given by the arguments, in the order of their flags.
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

// warnOfDeprecatedNames logs the deprecated variable names that a policy uses.
func warnOfDeprecatedNames(log *slog.Logger, policy *config.Policy) {
	for _, name := range policy.DeprecatedNames() {
		log.Warn("policy uses a deprecated variable", "old", name.Old, "new", name.New)
	}
}

// logLevel parses the name of a log level. An empty name means info.
func logLevel(name string) (slog.Level, error) {
	switch strings.ToLower(name) {
	case "", "info":
		return slog.LevelInfo, nil
	case "error":
		return slog.LevelError, nil
	case "debug":
		return slog.LevelDebug, nil
	}
	return 0, fmt.Errorf("%s: %q is none of error, info, debug", logLevelEnv, name)
}
