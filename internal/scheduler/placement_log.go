package scheduler

import (
	"log/slog"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/capacity"
	"violetturn/internal/statecache"
)

// PlacementLog is what is logged of a task once its placement is committed.
type PlacementLog struct {
	Task     string
	Attempt  uint64
	Host     string
	Shard    string // of the machine
	OwnShard bool   // whether the job is of the machine's shard
	Image    string
	HasImage bool     // whether the machine likely has it
	Preempts []string // tasks that stop for it
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

// secondsSinceAccepted returns a time as job records keep it: in seconds after the job was
// accepted, not before it.
func secondsSinceAccepted(job *statecache.Job, now time.Time) int64 {
	return max(0, (now.UnixMilli()-job.Record.AcceptedMS)/1000)
}
