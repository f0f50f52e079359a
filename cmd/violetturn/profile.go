package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/pprof"

	"violetturn/internal/controller"
)

// Names of the files of a profile.
const (
	cpuProfileFile  = "cpu.pprof"
	heapProfileFile = "heap.pprof" // live heap objects and all allocations
	lockProfileFile = "lock.txt"
)

// startProfile starts profiling this process. It returns a function that stops profiling and writes
// the files into a folder.
func startProfile(dir string, c *controller.Controller) (stop func(*slog.Logger), err error) {
	cpu, err := os.Create(filepath.Join(dir, cpuProfileFile))
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(cpu); err != nil {
		return nil, errors.Join(err, cpu.Close())
	}
	c.StartLockMeter()
	return func(log *slog.Logger) {
		pprof.StopCPUProfile()
		if err := errors.Join(cpu.Close(), writeHeapProfile(dir), writeLockProfile(dir, c)); err != nil {
			log.Error("profile not written", "err", err)
		}
	}, nil
}

// writeHeapProfile writes the memory profile.
func writeHeapProfile(dir string) error {
	f, err := os.Create(filepath.Join(dir, heapProfileFile))
	if err != nil {
		return err
	}
	runtime.GC() // the profile shows the state at the last garbage collection
	return errors.Join(pprof.WriteHeapProfile(f), f.Close())
}

// writeLockProfile writes which functions held the state lock, and for how long.
func writeLockProfile(dir string, c *controller.Controller) error {
	f, err := os.Create(filepath.Join(dir, lockProfileFile))
	if err != nil {
		return err
	}
	for _, use := range c.LockUses() {
		if _, err := fmt.Fprintf(
			f, "%-80s held %12v in all, %10v at most, %8d times; waited %12v in all\n", use.Function, use.TotalHeld,
			use.LongestHold, use.Holds, use.TotalWaited,
		); err != nil {
			return errors.Join(err, f.Close())
		}
	}
	return f.Close()
}
