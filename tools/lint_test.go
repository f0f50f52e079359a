// Package tools_test checks what CI checks with: the linters' configuration and the test command.
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

// finding is one entry of the linters' report.
type finding struct {
	FromLinter string
	Text       string
	Pos        struct{ Filename string }
}

// linterPath builds golangci-lint in the version that tools/lint.mod names.
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

// lint runs the linters over a module that has findings.
func lint(t *testing.T, dir string) []finding {
	t.Helper()
	report := filepath.Join(t.TempDir(), "report.json")
	run := exec.CommandContext(t.Context(), linterPath(t), "run", "--allow-parallel-runners", "--output.json.path", report)
	run.Dir = dir
	if out, err := run.CombinedOutput(); err == nil {
		t.Errorf("the linters pass: %s", out)
	}
	var found struct{ Issues []finding }
	if err := json.Unmarshal([]byte(readFile(t, report)), &found); err != nil {
		t.Fatalf("report: %v", err)
	}
	return found.Issues
}

// Each limit that the project states is in force: what offends it is found, by its linter, and a
// source that stays within the limits is not found.
func TestLintersRefuse(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, "go.mod"), "module violetturn\n\ngo 1.26\n")
	writeFile(t, filepath.Join(dir, ".golangci.yml"), readFile(t, "../.golangci.yml"))
	plants := slices.Concat(limitPlants(), codePlants(), layerPlants())
	for _, p := range plants {
		writeFile(t, filepath.Join(dir, p.path()), p.source())
	}
	found := lint(t, dir)
	for _, p := range plants {
		t.Run(p.name, func(t *testing.T) {
			here := slices.DeleteFunc(slices.Clone(found), func(f finding) bool { return f.Pos.Filename != p.path() })
			if p.linter == "" {
				if len(here) > 0 {
					t.Errorf("found %+v, want nothing", here)
				}
				return
			}
			if !slices.ContainsFunc(here, func(f finding) bool {
				return f.FromLinter == p.linter && strings.Contains(f.Text, p.text)
			}) {
				t.Errorf("found %+v, want %s %q", here, p.linter, p.text)
			}
		})
	}
}

// Each package below internal says in the configuration what its sources may import.
func TestEachPackageHasALayer(t *testing.T) {
	config := readFile(t, "../.golangci.yml")
	sources, err := filepath.Glob("../internal/*/*.go")
	if err != nil || len(sources) == 0 {
		t.Fatalf("%d sources: %v", len(sources), err)
	}
	for _, path := range sources {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		name := filepath.Base(filepath.Dir(path))
		rule := "        " + name + ":\n          list-mode: strict\n          files: [\"**/internal/" + name + "/*.go\", \"!$test\"]\n"
		if !strings.Contains(config, rule) {
			t.Errorf("%s: .golangci.yml has no layer for %s", path, name)
		}
	}
}

// block returns the lines below a key, as deep as they are indented.
func block(config, key string) string {
	_, below, _ := strings.Cut("\n"+config, "\n"+key+":\n")
	depth := len(key) - len(strings.TrimLeft(key, " ")) + 1
	var inside []string
	for line := range strings.Lines(below) {
		if len(line)-len(strings.TrimLeft(line, " ")) < depth {
			break
		}
		inside = append(inside, line)
	}
	return strings.Join(inside, "")
}

// Nothing excuses findings: the configuration leaves out nothing by path, text, age or number, and
// the sources have no comment that switches a linter off, other than nolint with a linter and a reason.
func TestNoExceptions(t *testing.T) {
	config := readFile(t, "../.golangci.yml")
	for key, want := range map[string]string{
		"run":             "  timeout: 5m\n  modules-download-mode: readonly\n",
		"issues":          "  max-issues-per-linter: 0\n  max-same-issues: 0\n  uniq-by-line: false\n",
		"  exclusions":    "    generated: strict\n",
		"    nolintlint":  "      require-explanation: true\n      require-specific: true\n",
		"    staticcheck": "      checks:\n        - all\n",
	} {
		if got := block(config, key); got != want {
			t.Errorf("%s: %q, want %q", key, got, want)
		}
	}
	if n := strings.Count(config, "exclusions:"); n != strings.Count(config, "exclusions:\n    generated: strict\n\n") {
		t.Errorf("%d exclusions, not all of them of generated sources only", n)
	}
	key := regexp.MustCompile(`(?m)^\s*(- )?((exclude|ignore|skip|new)[a-z-]*|disabled|default-signifies-exhaustive):.*$`)
	if found := key.FindAllString(config, -1); len(found) > 0 {
		t.Errorf("the configuration leaves out findings: %q", found)
	}
	off := regexp.MustCompile(`//\s*(revive:disable|lint:(file-)?ignore)`)
	for _, pattern := range []string{"../cmd/*/*.go", "../internal/*/*.go", "*.go"} {
		sources, err := filepath.Glob(pattern)
		if err != nil || len(sources) == 0 {
			t.Fatalf("%s: %d sources: %v", pattern, len(sources), err)
		}
		for _, path := range sources {
			if found := off.FindString(readFile(t, path)); found != "" {
				t.Errorf("%s: %q", path, found)
			}
		}
	}
}

// writeFile writes a file and the folders above it.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// readFile returns what a file holds.
func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}
