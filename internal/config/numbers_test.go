package config

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"violetturn/internal/numeric"

	"pgregory.net/rapid"
)

// numericSettingLine matches a line of a settings file that sets a number.
var numericSettingLine = regexp.MustCompile(`^(\w+) = (-?[0-9][0-9.e+]*)$`)

// extremeNumbers are numbers at the ends of their ranges, as a settings file writes them.
var extremeNumbers = []string{
	"0.0", "-1.7e308", "5e-324", "1e-300", "1e-9", "0.001", "1.0", "64.0", "9.2e9", "9.3e18", "1e300", "1.7e308", "inf", "nan",
}

// extremeIntegers are the same for settings that are integers.
var extremeIntegers = []string{
	"0", "-9223372036854775808", "64", "1000000", "2147483648", "1844674407370955161", "4611686018427387904", "9223372036854775807",
}

// replaceNumbers replaces up to three numbers of a settings file by extreme ones, but not the number of
// controllers, which is that of the members.
func replaceNumbers(t *rapid.T, file string) string {
	lines := strings.Split(file, "\n")
	numbersByLine := map[int][]string{} // extreme numbers of the type of the one on the line
	for i, line := range lines {
		match := numericSettingLine.FindStringSubmatch(line)
		if match == nil || match[1] == "size" {
			continue
		}
		numbersByLine[i] = extremeNumbers
		if _, err := strconv.Atoi(match[2]); err == nil {
			numbersByLine[i] = extremeIntegers
		}
	}
	numericLines := slices.Sorted(maps.Keys(numbersByLine))
	for _, i := range rapid.SliceOfNDistinct(rapid.SampledFrom(numericLines), 1, 3, rapid.ID).Draw(t, "lines") {
		name, _, _ := strings.Cut(lines[i], " ")
		lines[i] = name + " = " + rapid.SampledFrom(numbersByLine[i]).Draw(t, name)
	}
	return strings.Join(lines, "\n")
}

// Guards against numbers of settings that overflow when they are converted to durations, sizes and
// counts: whatever numbers a file has, it is rejected with a one-line error, or all that is derived
// from it can be used.
func TestExtremeSettingsAreRejectedOrUsable(t *testing.T) {
	raw, err := os.ReadFile(filepath.Join("testdata", "settings.toml"))
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		s, err := Parse([]byte(replaceNumbers(rt, string(raw))))
		if err != nil {
			checkErrorIsOneLine(t, err)
			return
		}
		checkDerivedLimits(t, s)
		checkDerivedTimes(t, s)
		checkDerivedNumbers(rt, s)
	})
}

// checkDerivedNumbers checks that derived times and counts have not overflowed, and are within the
// limits of PROTOCOL where it has some.
func checkDerivedNumbers(t *rapid.T, s *Settings) {
	const maxSum = 5 * numeric.MaxAmount * time.Second // above the sums below
	for name, duration := range map[string]time.Duration{
		"worker lease":           s.WorkerLease(),
		"worker lease bound":     s.WorkerLeaseBound(),
		"heartbeat interval":     s.HeartbeatInterval(),
		"gang gather timeout":    s.GangGatherTimeout(),
		"gang peer timeout":      s.GangPeerTimeout(),
		"autoscale interval":     s.AutoscaleInterval(),
		"decision interval":      s.DecisionInterval(),
		"query read interval":    s.QueryReadInterval(),
		"cloud's list lag":       s.CloudListLag(),
		"leadership grace":       s.LeadershipGracePeriod(),
		"staleness":              s.MaxStaleness(),
		"controller lease":       s.ControllerLeaseTTL(),
		"sum of several leases":  4 * s.WorkerLeaseBound(),
		"sum of several lags":    4 * s.CloudListLag(),
		"heartbeats and a lease": 4*s.HeartbeatInterval() + s.WorkerLease(),
	} {
		if duration < 0 || duration > maxSum {
			t.Fatalf("%s is %v, want at least 0 and no overflow", name, duration)
		}
	}
	if s.HeartbeatInterval() < minHeartbeatInterval || s.WorkerLease() < s.HeartbeatInterval() {
		t.Fatalf("heartbeat interval is %v and worker lease %v, want at least %v and the interval",
			s.HeartbeatInterval(), s.WorkerLease(), minHeartbeatInterval)
	}
	if s.ControllerLeaseTTL() > maxControllerLease {
		t.Fatalf("controller lease is %v, but the state service grants at most %v", s.ControllerLeaseTTL(), maxControllerLease)
	}
	checkDerivedCounts(t, s)
}

// checkDerivedCounts checks the counts and sizes that other packages calculate from the settings.
func checkDerivedCounts(t *rapid.T, s *Settings) {
	limits := s.LowestLimits()
	for name, count := range map[string]int{
		"bytes of a value":          int(s.Facts.State.ValueKB * 1024),
		"bytes of a record":         int(limits.ValueKB * 1024),
		"preconditions":             4 * limits.TxnOps,
		"sockets times a few":       8 * s.Facts.Limits.MaxSockets,
		"bytes of memory":           int(s.Facts.Limits.MemoryMB * (1 << 20)),
		"writes a second, plus one": int(limits.WriteRPS) + 1,
	} {
		if count <= 0 {
			t.Fatalf("%s: got %d, want above 0 and no overflow", name, count)
		}
	}
	if limits.ValueKB > maxRecordKB {
		t.Fatalf("records may have %g KiB, want at most %d", limits.ValueKB, maxRecordKB)
	}
	for i, team := range s.Facts.Teams {
		if sum := fmt.Sprint(8 * (team.MaxCPUs + team.GuaranteedCPUs + team.MaxGPUs + team.GuaranteedGPUs)); strings.Contains(sum, "Inf") {
			t.Fatalf("amounts of team %d add up to %s, want a finite sum", i, sum)
		}
	}
}
