package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a case, as the review asks.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCould  = 2 // the case could not run
)

// verdict is the result of a case.
type verdict struct {
	code int
	text string
}

// cases are the cases by number.
var cases = map[string]func(w *world, trouble bool) verdict{
	"4": playQuota,
	"5": playStale,
	"6": playBoundZone,
	"7": playLimit,
	"8": playMistake,
}

// deployments are the settings of the cases.
var deployments = map[string]func() deployment{
	"4": limitedQurum,
	"5": qurumWithObjective,
	"6": qurum,
	"7": limitedQurum,
	"8": qurum,
}

func main() { os.Exit(run()) }

// run plays the case and returns its exit code.
func run() int {
	name := flag.String("case", "", "the case to play")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	dir := flag.String("dir", "", "folder for settings and logs")
	flag.Parse()
	record, err := newRecorder(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCould
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	play, settings := cases[*name], deployments[*name]
	if play == nil || settings == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return exitCould
	}
	w, err := newWorld(settings(), *dir, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCould
	}
	defer w.end()
	for _, c := range w.controllers {
		if err := w.start(c); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitCould
		}
	}
	v := play(w, trouble)
	if !w.allServed() {
		v = verdict{exitCould, "a controller ended by itself"}
	}
	record.note("verdict: exit code %d: %s", v.code, v.text)
	fmt.Printf("%s: exit code %d: %s\n", *name, v.code, v.text)
	return v.code
}
