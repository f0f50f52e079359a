package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

// settingsServingOn returns valid settings for a controller that serves on the given address. All
// other addresses are free loopback ports, so that the state service and the cloud can't be reached.
func settingsServingOn(t *testing.T, serveOn string) string {
	t.Helper()
	return strings.NewReplacer(
		"127.0.0.1:1", serveOn,
		"127.0.0.1:2", freeAddr(t),
		"127.0.0.3:1", freeAddr(t),
		"127.0.0.3:2", freeAddr(t),
		"127.0.0.2:2", freeAddr(t),
	).Replace(validSettings(t))
}

// A controller that can't listen on its address logs the error and exits with exitFailed.
func TestExitCodeWhenAddressIsInUse(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = occupied.Close() })
	dir := t.TempDir()
	writeFile(t, dir, "settings.toml", settingsServingOn(t, occupied.Addr().String()))
	cmd := programCommand(t, dir, []string{"--config", "settings.toml"})
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	_ = cmd.Run() // the exit code is checked
	if code := cmd.ProcessState.ExitCode(); code != exitFailed || !strings.Contains(stderr.String(), "level=ERROR msg=ended err=") {
		t.Errorf("exit code %d, want %d and a logged error; standard error: %s", code, exitFailed, stderr.String())
	}
}

// A controller exits with exitOK after SIGTERM or SIGINT.
func TestExitCodeAfterStopSignal(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(signal.String(), func(t *testing.T) {
			addr := freeAddr(t)
			dir := t.TempDir()
			writeFile(t, dir, "settings.toml", settingsServingOn(t, addr))
			cmd := programCommand(t, dir, []string{"--config", "settings.toml"})
			var stderr bytes.Buffer
			cmd.Stderr = &stderr
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			waitForResponse(t, fmt.Sprintf("http://%s/healthz", addr))
			if err := cmd.Process.Signal(signal); err != nil {
				t.Error(err)
			}
			_ = cmd.Wait() // the exit code is checked
			if code := cmd.ProcessState.ExitCode(); code != exitOK {
				t.Errorf("exit code %d, want %d; standard error: %s", code, exitOK, stderr.String())
			}
		})
	}
}

// waitForResponse waits until a GET request for a URL gets a response of any status.
func waitForResponse(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if response, err := client.Get(url); err == nil {
			_ = response.Body.Close()
			return
		}
	}
	t.Errorf("no response from %s within 20s, want one of any status", url)
}
