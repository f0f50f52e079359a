package scheduler

import (
	"log/slog"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/statecache"
)

// PlacementLog is the content of the log line for a committed placement.
type PlacementLog struct {
	Task     string
	Attempt  uint64
	Host     string
	Shard    string // of the machine
	OwnShard bool   // whether the job belongs to the machine's shard
	Image    string
	HasImage bool     // whether the machine probably has the image
	Preempts []string // tasks stopped for the placement
}

// Attrs returns the attributes of the log line.
func (l *PlacementLog) Attrs() []slog.Attr {
	attrs := []slog.Attr{
		slog.String("task", l.Task),
		slog.Uint64("attempt", l.Attempt),
		slog.String("host", l.Host),
		slog.String("shard", l.Shard),
		slog.Bool("own", l.OwnShard),
		slog.String("image", l.Image),
		slog.Bool("warm", l.HasImage),
	}
	for _, task := range l.Preempts {
		attrs = append(attrs, slog.String("preempts", task))
	}
	return attrs
}

// newPlacementLog describes a placement of a job's task.
func newPlacementLog(job *statecache.Job, placement *capacity.Placement, attempt uint64) PlacementLog {
	spec := &job.Record.Spec
	return PlacementLog{
		Task:     api.TaskName(spec.UID, placement.RangeIndex*job.Record.RangeSize+placement.Index),
		Attempt:  attempt,
		Host:     placement.Host.Name,
		Shard:    placement.Host.Shard,
		OwnShard: placement.Host.Shard == job.Record.Shard,
		Image:    spec.Image,
		HasImage: placement.Host.Images[spec.Image],
	}
}

// secondsSinceAccepted converts a time to its encoding in job records: seconds since the job was
// accepted, at least 0.
func secondsSinceAccepted(job *statecache.Job, now time.Time) int64 {
	return max(0, (now.UnixMilli()-job.Record.AcceptedMS)/1000)
}
