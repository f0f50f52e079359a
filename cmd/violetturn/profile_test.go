package main

import (
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"testing"

	"violetturn/internal/config"
	"violetturn/internal/controller"
	"violetturn/internal/features"
)

// A profile consists of three files in the folder. A folder that does not exist is an error.
func TestProfileWritesThreeFiles(t *testing.T) {
	cfg := &config.Settings{HostName: "n0", Zone: "x"}
	cfg.Facts.ControllerCount, cfg.Facts.Limits.MaxSockets = 1, 100
	cfg.Facts.State.WriteRPS, cfg.Facts.State.RPS, cfg.Facts.Cloud.RPS = 10, 10, 10
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c, err := controller.New(cfg, config.DefaultPolicy(), features.Default(), log)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if _, err = startProfile(filepath.Join(dir, "none"), c); err == nil {
		t.Fatal("startProfile returned no error for a folder that does not exist, want one")
	}
	stop, err := startProfile(dir, c)
	if err != nil {
		t.Fatal(err)
	}
	c.LockUses() // acquires the lock once
	stop(log)
	for _, name := range []string{cpuProfileFile, heapProfileFile, lockProfileFile} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s is missing or empty (error %v), want a profile", name, err)
		}
	}
}
