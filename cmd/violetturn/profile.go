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

// Files of a profile.
const (
	cpuProfile  = "cpu.pprof"
	heapProfile = "heap.pprof" // live memory, and all that was allocated
	lockProfile = "lock.txt"
)

// startProfile begins to profile this process and gives what ends it and writes the
// files into a folder.
func startProfile(dir string, c *controller.Controller) (end func(*slog.Logger), err error) {
	cpu, err := os.Create(filepath.Join(dir, cpuProfile))
	if err != nil {
		return nil, err
	}
	if err := pprof.StartCPUProfile(cpu); err != nil {
		return nil, errors.Join(err, cpu.Close())
	}
	c.StartLockMeter()
	return func(log *slog.Logger) {
		pprof.StopCPUProfile()
		if err := errors.Join(cpu.Close(), writeHeap(dir), writeLock(dir, c)); err != nil {
			log.Error("profile not written", "err", err)
		}
	}, nil
}

// writeHeap writes the profile of memory.
func writeHeap(dir string) error {
	f, err := os.Create(filepath.Join(dir, heapProfile))
	if err != nil {
		return err
	}
	runtime.GC() // the profile is as of the last collection
	return errors.Join(pprof.WriteHeapProfile(f), f.Close())
}

// writeLock writes which functions held the state's lock, and for how long.
func writeLock(dir string, c *controller.Controller) error {
	f, err := os.Create(filepath.Join(dir, lockProfile))
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
