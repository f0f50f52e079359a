package schema

import (
	"log/slog"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/node"
	"violetturn/internal/statecache"
)

// unlimitedWrites is a write budget that is never exhausted.
type unlimitedWrites struct{}

func (unlimitedWrites) Available() int { return 1000 }

// drawJobs draws jobs with records of up to the size of a value and adds them to a cache.
func drawJobs(t *rapid.T, cache *statecache.Cache, valueKB int) []*statecache.Job {
	var jobs []*statecache.Job
	for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
		record := &job.Record{Shard: "n0", Spec: api.Job{
			UID: "run-" + strings.Repeat("1", i+1), Kind: api.Array, Tasks: 4,
			Image: strings.Repeat("i", rapid.IntRange(0, valueKB*bytesPerKB-600).Draw(t, "bytes")),
		}}
		record.ChooseLayout(float64(valueKB), 300, false)
		record.InlineRange = (*job.TaskRange)(nil).Copy()
		cache.Apply(statecache.JobKey(record.Spec.UID), api.MustMarshal(record), uint64(i+1))
		jobs = append(jobs, cache.Jobs[record.Spec.UID])
	}
	return jobs
}

// Guards against transactions of more than 64 KiB: records of jobs with long submissions counted as if
// they were short, and the state service refused the transaction.
func TestEditedLargeRecordsFitIntoOneTransaction(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		valueKB := rapid.SampledFrom([]int{2, 4, 16}).Draw(t, "value KiB")
		settings := &config.Settings{HostName: "n0"}
		settings.Facts.State.StateLimits = config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: float64(valueKB), TxnOps: 20}
		info := node.New(settings, config.DefaultPolicy(), slog.New(slog.DiscardHandler))
		cache := statecache.New(info.Log)
		editor := New(info, cache, unlimitedWrites{}).NewRecordEditor()
		edited := 0
		for _, j := range drawJobs(t, cache, valueKB) {
			if editor.IsFull(editor.RangeCost(j, 0), 0, j) {
				break
			}
			editor.TaskRange(j, 0).Place(0, "i-000001", 0)
			edited++
		}
		if edited == 0 {
			t.Fatal("the first job does not fit into an empty transaction, want it to fit")
		}
		if bytes := len(api.MustMarshal(editor.BuildTransaction().Request())); bytes > api.MaxMessageBytes {
			t.Fatalf("transaction with %d jobs has %d bytes, want at most %d", edited, bytes, api.MaxMessageBytes)
		}
	})
}
