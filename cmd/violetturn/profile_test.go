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

// A profile is three files in the folder; a folder that isn't there is an error.
func TestProfile(t *testing.T) {
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
		t.Fatal("a folder that isn't there")
	}
	end, err := startProfile(dir, c)
	if err != nil {
		t.Fatal(err)
	}
	c.LockUses() // takes the lock once
	end(log)
	for _, name := range []string{cpuProfile, heapProfile, lockProfile} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
}
