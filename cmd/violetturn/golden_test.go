package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The golden files contain the output and exit codes of the program. They were written by a build of
// commit 1a43aa6, before the code was refactored; only help texts and one error have been reworded
// since. The command was
//
//	go test ./cmd/violetturn -run TestGolden -update -program PATH
//
// Without -program, the test binary runs itself as the program.
var (
	updateGolden = flag.Bool("update", false, "write the golden files instead of comparing with them")
	programPath  = flag.String("program", "", "program to test instead of this test binary")
)

// runAsProgramEnv is the environment variable that makes the test binary run main.
const runAsProgramEnv = "VIOLETTURN_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runAsProgramEnv) != "" {
		main()
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the program with the given arguments in a folder.
func programCommand(t *testing.T, dir string, args []string, environment ...string) *exec.Cmd {
	t.Helper()
	program := *programPath
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			t.Fatal(err)
		}
	}
	cmd := exec.Command(program, args...)
	cmd.Dir = dir
	cmd.Env = append([]string{runAsProgramEnv + "=1"}, environment...)
	return cmd
}

// programCase is a run of the program that exits by itself.
type programCase struct {
	name        string
	args        []string
	environment []string
}

// goldenMasks replace the parts of the output that are not compared with the golden files: Go
// identifiers in errors (the TOML decoder prints the name of the field, the policy compiler that of
// the type), and the time and message of log lines, because messages may be reworded. Level and
// attributes are compared.
var goldenMasks = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`struct field .* of type`), "struct field FIELD of type"},
	{regexp.MustCompile(`type config\.\w+ has`), "type TYPE has"},
	{regexp.MustCompile(`time=\S+ level=(\w+) msg="[^"]*"`), "time=TIME level=$1 msg=MESSAGE"},
}

// runAndDescribe runs the program in a folder and returns its output and exit code. The text is
// masked with goldenMasks, and the folder's path is replaced by DIR.
func (c programCase) runAndDescribe(t *testing.T, dir string) string {
	t.Helper()
	cmd := programCommand(t, dir, c.args, c.environment...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	text := fmt.Sprintf("=== %s\nexit code %d\n--- standard output\n%s--- standard error\n%s\n", c.name, cmd.ProcessState.ExitCode(),
		stdout.String(), stderr.String())
	text = strings.ReplaceAll(text, dir, "DIR")
	for _, m := range goldenMasks {
		text = m.pattern.ReplaceAllString(text, m.replacement)
	}
	return text
}

// compareGolden compares a text with a golden file, or writes the file with -update.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got); d != "" {
		t.Errorf("%s differs (-want +got):\n%s", path, d)
	}
}

// writeFile writes a file into a folder.
func writeFile(t *testing.T, dir, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// validSettings returns the text of a settings file that the program accepts.
func validSettings(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join("testdata", "settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// The help texts, the version, and the errors for invalid arguments and environment variables are
// those of the golden file.
func TestGoldenArguments(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, "settings.toml", validSettings(t))
	settings := []string{"--config", "settings.toml"}
	withSettings := func(args ...string) []string { return append(append([]string{}, settings...), args...) }
	var got strings.Builder
	for _, tt := range []programCase{
		{name: "help", args: []string{"--help"}},
		{name: "help of check", args: []string{"check", "--help"}},
		{name: "help of serve", args: []string{"serve", "--help"}},
		{name: "version", args: []string{"--version"}},
		{name: "no arguments"},
		{name: "unknown flag", args: withSettings("--colour")},
		{name: "unknown command", args: withSettings("start")},
		{name: "flag without a value", args: []string{"--config"}},
		{name: "settings that are not there", args: []string{"--config", "none.toml", "check"}},
		{name: "policy that is not there", args: withSettings("--policy", "none.toml", "check")},
		{name: "features that are not there", args: withSettings("--features", "none.toml", "check")},
		{name: "check", args: withSettings("check")},
		{name: "check before the flags", args: append([]string{"check"}, settings...)},
		{name: "unknown log level", args: withSettings("check"), environment: []string{"LOG_LEVEL=loud"}},
		{name: "log level in capitals", args: withSettings("check"), environment: []string{"LOG_LEVEL=DEBUG"}},
		{name: "profile into a folder that is not there", args: withSettings("--profile", "none")},
	} {
		got.WriteString(tt.runAndDescribe(t, dir))
	}
	compareGolden(t, "arguments.golden", got.String())
}

// fileCase is a file to check: the valid file with old replaced by new, or only new if old is "".
type fileCase struct{ name, old, new string }

// apply returns the content of the file.
func (c fileCase) apply(t *testing.T, valid string) string {
	t.Helper()
	if c.old == "" {
		return c.new
	}
	if !strings.Contains(valid, c.old) {
		t.Fatalf("%s: the valid file does not contain %q, want it there to be replaced", c.name, c.old)
	}
	return strings.Replace(valid, c.old, c.new, 1)
}

// checkFiles runs the check command for each case, with the file given by a flag, and returns the
// outputs.
func checkFiles(t *testing.T, flagName, valid string, cases []fileCase) string {
	t.Helper()
	dir := t.TempDir()
	writeFile(t, dir, "settings.toml", validSettings(t))
	args := []string{"check", "--config", "settings.toml"}
	if flagName == "--config" {
		args = []string{"check"}
	}
	args = append(args, flagName, "file.toml")
	var got strings.Builder
	for _, tt := range cases {
		writeFile(t, dir, "file.toml", tt.apply(t, valid))
		got.WriteString(programCase{name: tt.name, args: args}.runAndDescribe(t, dir))
	}
	return got.String()
}

// Valid settings are accepted, and invalid ones are rejected with a one-line error.
func TestGoldenSettings(t *testing.T) {
	compareGolden(t, "settings.golden", checkFiles(t, "--config", validSettings(t), settingsCases))
}

// Valid policies are accepted, with warnings for deprecated names, and invalid ones are rejected with
// an error.
func TestGoldenPolicy(t *testing.T) {
	compareGolden(t, "policy.golden", checkFiles(t, "--policy", "", policyCases))
}

// Valid features files are accepted, and invalid ones are rejected with an error.
func TestGoldenFeatures(t *testing.T) {
	compareGolden(t, "features.golden", checkFiles(t, "--features", "", featuresCases))
}
