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

// settingsOn returns valid settings with addresses on the loopback network: the controller's own
// as given, and those of the state service and the cloud where nobody listens.
func settingsOn(t *testing.T, serveOn string) string {
	t.Helper()
	return strings.NewReplacer(
		"127.0.0.1:1", serveOn,
		"127.0.0.1:2", freeAddr(t),
		"127.0.0.3:1", freeAddr(t),
		"127.0.0.3:2", freeAddr(t),
		"127.0.0.2:2", freeAddr(t),
	).Replace(validSettings(t))
}

// A controller that can't listen on its address says why and ends with exitFailed.
func TestExitCodeOfFailure(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = taken.Close() })
	dir := t.TempDir()
	writeFile(t, dir, "settings.toml", settingsOn(t, taken.Addr().String()))
	cmd := programCommand(t, dir, []string{"--config", "settings.toml"})
	var stderr bytes.Buffer
	cmd.Stderr = &stderr
	_ = cmd.Run() // the exit code is checked
	if code := cmd.ProcessState.ExitCode(); code != exitFailed || !strings.Contains(stderr.String(), "level=ERROR msg=ended err=") {
		t.Errorf("exit code %d: %s", code, stderr.String())
	}
}

// A controller that is told to stop ends with exitOK.
func TestExitCodeOfStop(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT} {
		t.Run(signal.String(), func(t *testing.T) {
			addr := freeAddr(t)
			dir := t.TempDir()
			writeFile(t, dir, "settings.toml", settingsOn(t, addr))
			cmd := programCommand(t, dir, []string{"--config", "settings.toml"})
			var stderr bytes.Buffer
			cmd.Stderr = &stderr
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			awaitAnswer(t, fmt.Sprintf("http://%s/healthz", addr))
			if err := cmd.Process.Signal(signal); err != nil {
				t.Error(err)
			}
			_ = cmd.Wait() // the exit code is checked
			if code := cmd.ProcessState.ExitCode(); code != exitOK {
				t.Errorf("exit code %d: %s", code, stderr.String())
			}
		})
	}
}

// awaitAnswer waits until a URL is answered, whatever the status.
func awaitAnswer(t *testing.T, url string) {
	t.Helper()
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if answer, err := client.Get(url); err == nil {
			_ = answer.Body.Close()
			return
		}
	}
	t.Errorf("%s is not answered", url)
}
