package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The test command passes over the tests that KNOWN-RED.txt lists, and over no others: it
// refuses a list of more than three, one that names no cause and issue, and a name that
// no test has.
func TestKnownRedList(t *testing.T) {
	const ok = "TestKnownRedList, an example, issue 1\n"
	for _, x := range []struct{ what, list, want string }{
		{"one", ok, "TestKnownRedList"},
		{"four", strings.Repeat(ok, 4), ""},
		{"no issue", "TestKnownRedList, an example\n", ""},
		{"no such test", "TestThatNobodyWrote, an example, issue 1\n", ""},
		{"part of a name", "TestKnownRed, an example, issue 1\n", ""},
	} {
		path := filepath.Join(t.TempDir(), "list")
		if err := os.WriteFile(path, []byte(x.list), 0o600); err != nil {
			t.Fatal(err)
		}
		out, err := exec.Command("bash", "../../test.sh", "known-red", path).Output()
		if got := strings.TrimSpace(string(out)); (err == nil) != (x.want != "") || err == nil && got != x.want {
			t.Errorf("%s: %q, %v", x.what, got, err)
		}
	}
}
