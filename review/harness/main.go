// Command harness runs one case of the review: it starts three controllers as processes, serves the
// stand-ins for the state service, the cloud, the workers and the users, and checks one rule.
//
// Usage: harness CASE FOLDER. It writes record.txt into the folder and exits with 1 if the rule was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in the environment, the
// disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitUnusable = 2
)

// maxDuration ends a case that does not end by itself.
const maxDuration = 117 * time.Second

// cases are the scenarios by name. Each returns whether the rule held, or an error if the case could
// not run.
var cases = map[string]func(w *world) (held bool, err error){
	"yearend": runYearend,
	"stow":    runStow,
	"calloff": runCallOff,
}

func main() {
	runtime.LockOSThread() // the controllers end with the thread that starts them
	os.Exit(run())
}

// run runs the case that the arguments name and returns the exit code.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		return exitUnusable
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	w, err := newWorld(newRecord(file), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	timer := time.AfterFunc(maxDuration, func() {
		w.record.note("harness", "the case did not end in time")
		w.stop()
		os.Exit(exitUnusable)
	})
	held, err := cases[os.Args[1]](w)
	timer.Stop()
	w.stop()
	code := exitCode(w, held, err)
	if err := file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnusable
	}
	return code
}

// exitCode prints the result of a case and returns its exit code.
func exitCode(w *world, held bool, err error) int {
	switch {
	case err != nil:
		w.record.note("result", "the case could not run: %v", err)
		return exitUnusable
	case held:
		w.record.note("result", "the rule held")
		return exitHeld
	}
	w.record.note("result", "the rule was broken")
	return exitBroken
}
