package tools_test

import (
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
	tests := []struct{ name, list, want string }{
		{"one", ok, "TestKnownRedList"},
		{"four", strings.Repeat(ok, 4), ""},
		{"no issue", "TestKnownRedList, an example\n", ""},
		{"no such test", "TestThatNobodyWrote, an example, issue 1\n", ""},
		{"the beginning of a name", "TestKnownRed, an example, issue 1\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "list")
			writeFile(t, path, tt.list)
			out, err := exec.CommandContext(t.Context(), "bash", "../test.sh", "known-red", path).Output()
			if got := strings.TrimSpace(string(out)); (err == nil) != (tt.want != "") || err == nil && got != tt.want {
				t.Errorf("%q, %v, want %q", got, err, tt.want)
			}
		})
	}
}
