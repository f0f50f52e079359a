// Package tools_test tests the tools that CI uses: the configuration of the linters and the test
// command.
package tools_test

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// finding is one issue in the report of golangci-lint.
type finding struct {
	FromLinter string
	Text       string
	Pos        struct{ Filename string }
}

// linterPath builds golangci-lint in the version of tools/lint.mod and returns the path of the
// binary.
func linterPath(t *testing.T) string {
	t.Helper()
	find := exec.CommandContext(t.Context(), "go", "tool", "-modfile=tools/lint.mod", "-n", "golangci-lint")
	find.Dir = ".."
	path, err := find.Output()
	if err != nil {
		t.Fatalf("golangci-lint: %v", err)
	}
	return strings.TrimSpace(string(path))
}

// lint runs the linters on a module that has findings and returns them.
func lint(t *testing.T, dir string) []finding {
	t.Helper()
	report := filepath.Join(t.TempDir(), "report.json")
	run := exec.CommandContext(t.Context(), linterPath(t), "run", "--allow-parallel-runners", "--output.json.path", report)
	run.Dir = dir
	if out, err := run.CombinedOutput(); err == nil {
		t.Errorf("the linters reported success, want findings: %s", out)
	}
	var found struct{ Issues []finding }
	if err := json.Unmarshal([]byte(readFile(t, report)), &found); err != nil {
		t.Fatalf("decode the linters' report: %v", err)
	}
	return found.Issues
}

// The linters enforce each limit and rule of the project: the expected linter reports each source
// that violates one, and no linter reports a source within the limits.
func TestLintersReportViolations(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "go.mod"), "module violetturn\n\ngo 1.26\n")
	writeFile(t, filepath.Join(dir, ".golangci.yml"), readFile(t, "../.golangci.yml"))
	cases := slices.Concat(limitCases(), codeCases(), layerCases())
	for _, tt := range cases {
		writeFile(t, filepath.Join(dir, tt.path()), tt.source())
	}
	found := lint(t, dir)
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			findings := slices.DeleteFunc(slices.Clone(found), func(f finding) bool { return f.Pos.Filename != tt.path() })
			if tt.wantLinter == "" {
				if len(findings) > 0 {
					t.Errorf("findings %+v, want none", findings)
				}
				return
			}
			if !slices.ContainsFunc(findings, func(f finding) bool {
				return f.FromLinter == tt.wantLinter && strings.Contains(f.Text, tt.wantText)
			}) {
				t.Errorf("findings %+v, want one of %s that contains %q", findings, tt.wantLinter, tt.wantText)
			}
		})
	}
}

// Each package in internal has a depguard rule that lists the imports allowed in its sources.
func TestEveryPackageHasADepguardRule(t *testing.T) {
	config := readFile(t, "../.golangci.yml")
	sources, err := filepath.Glob("../internal/*/*.go")
	if err != nil || len(sources) == 0 {
		t.Fatalf("%d sources, error %v, want some sources and no error", len(sources), err)
	}
	for _, path := range sources {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		name := filepath.Base(filepath.Dir(path))
		rule := "        " + name + ":\n          list-mode: strict\n          files: [\"**/internal/" + name + "/*.go\", \"!$test\"]\n"
		if !strings.Contains(config, rule) {
			t.Errorf("%s: .golangci.yml has no depguard rule for package %s, want one", path, name)
		}
	}
}

// yamlBlock returns the lines below a key that are indented deeper than the key.
func yamlBlock(config, key string) string {
	_, rest, _ := strings.Cut("\n"+config, "\n"+key+":\n")
	minIndent := len(key) - len(strings.TrimLeft(key, " ")) + 1
	var lines []string
	for line := range strings.Lines(rest) {
		if len(line)-len(strings.TrimLeft(line, " ")) < minIndent {
			break
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "")
}

// No findings are suppressed: the configuration excludes none by path, text, age or number, and the
// sources have no comment that disables a linter, other than nolint with a linter and a reason.
func TestConfigurationHasNoExclusions(t *testing.T) {
	config := readFile(t, "../.golangci.yml")
	for key, want := range map[string]string{
		"run":             "  timeout: 5m\n  modules-download-mode: readonly\n",
		"issues":          "  max-issues-per-linter: 0\n  max-same-issues: 0\n  uniq-by-line: false\n",
		"  exclusions":    "    generated: strict\n",
		"    nolintlint":  "      require-explanation: true\n      require-specific: true\n",
		"    staticcheck": "      checks:\n        - all\n",
	} {
		if got := yamlBlock(config, key); got != want {
			t.Errorf("block %q is %q, want %q", key, got, want)
		}
	}
	if n := strings.Count(config, "exclusions:"); n != strings.Count(config, "exclusions:\n    generated: strict\n\n") {
		t.Errorf("%d blocks named exclusions, want all to exclude only generated sources", n)
	}
	exclusionKey := regexp.MustCompile(`(?m)^\s*(- )?((exclude|ignore|skip|new)[a-z-]*|disabled|default-signifies-exhaustive):.*$`)
	if found := exclusionKey.FindAllString(config, -1); len(found) > 0 {
		t.Errorf("the configuration has keys that exclude findings: %q, want none", found)
	}
	suppression := regexp.MustCompile(`//\s*(revive:disable|lint:(file-)?ignore)`)
	for _, pattern := range []string{"../cmd/*/*.go", "../internal/*/*.go", "*.go"} {
		sources, err := filepath.Glob(pattern)
		if err != nil || len(sources) == 0 {
			t.Fatalf("%s: %d sources, error %v, want some sources and no error", pattern, len(sources), err)
		}
		for _, path := range sources {
			if found := suppression.FindString(readFile(t, path)); found != "" {
				t.Errorf("%s has the suppression comment %q, want none", path, found)
			}
		}
	}
}

// writeFile writes a file and creates its parent folders.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// readFile returns the content of a file.
func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
