package agent

import "time"

// Cordon is whether a machine takes more tasks, and what may have it cordoned.
type Cordon struct {
	Cordoned       bool            // it takes no more tasks and is to be returned; never cleared
	IdleSince      time.Time       // since when it has no task; zero: it has some
	UnderusedSince time.Time       // since when its few replicas would fit elsewhere; zero: they don't
	FailedJobs     map[string]bool // jobs whose tasks failed there since one last succeeded
	AvoidUntil     time.Time       // it refused a task for want of room: none is placed there until then
}
