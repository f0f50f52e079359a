package tools_test

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// The test command may only tolerate failures of the tests that KNOWN-RED.txt lists. It rejects a
// list of more than three entries, an entry that does not have exactly four fields or has an empty
// one, and a name that is not exactly the name of a test.
func TestKnownRedList(t *testing.T) {
	const (
		command = "`go test ./tools -run '^TestKnownRedList$'`, no seed"
		ok      = "TestKnownRedList; " + command + "; seen, in an example; issue 1\n"
	)
	tests := []struct{ name, list, want string }{
		{"one", ok, "TestKnownRedList"},
		{"one without a line end", strings.TrimSuffix(ok, "\n"), "TestKnownRedList"},
		{"three", strings.Repeat(ok, 3), strings.TrimSpace(strings.Repeat("TestKnownRedList\n", 3))},
		{"four", strings.Repeat(ok, 4), ""},
		{"no issue", "TestKnownRedList; " + command + "; an example\n", ""},
		{"empty name", "; " + command + "; an example; issue 1\n", ""},
		{"empty command", "TestKnownRedList;; an example; issue 1\n", ""},
		{"blank command", "TestKnownRedList; ; an example; issue 1\n", ""},
		{"blank observation", "TestKnownRedList; " + command + "; ; issue 1\n", ""},
		{"blank issue", "TestKnownRedList; " + command + "; an example; \n", ""},
		{"empty issue", "TestKnownRedList; " + command + "; an example;\n", ""},
		{"five fields", "TestKnownRedList; " + command + "; an example; issue 1; more\n", ""},
		{"empty fifth field", "TestKnownRedList; " + command + "; an example; issue 1;\n", ""},
		{"fields separated by commas", "TestKnownRedList, an example, issue 1\n", ""},
		{"empty line", ok + "\n", ""},
		{"second entry without an issue", ok + "TestKnownRedList; " + command + "; an example\n", ""},
		{"no such test", "TestThatNobodyWrote; " + command + "; an example; issue 1\n", ""},
		{"the beginning of a name", "TestKnownRed; " + command + "; an example; issue 1\n", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "list")
			writeFile(t, path, tt.list)
			out, err := exec.CommandContext(t.Context(), "bash", "../test.sh", "known-red", path).Output()
			if got := strings.TrimSpace(string(out)); (err == nil) != (tt.want != "") || err == nil && got != tt.want {
				t.Errorf("test.sh known-red printed %q, error %v, want %q (an error if that is empty)", got, err, tt.want)
			}
		})
	}
}

// A rejected list is reported with a message that names the list.
func TestKnownRedListErrorsNameTheList(t *testing.T) {
	for _, list := range []string{strings.Repeat("a\n", 4), "TestKnownRedList; a; b\n", "TestThatNobodyWrote; a; b; issue 1\n"} {
		path := filepath.Join(t.TempDir(), "list")
		writeFile(t, path, list)
		out, err := exec.CommandContext(t.Context(), "bash", "../test.sh", "known-red", path).CombinedOutput()
		if err == nil || !strings.Contains(string(out), path+": ") {
			t.Errorf("test.sh known-red on %q: output %q, error %v, want a message that names the list", list, out, err)
		}
	}
}
