package agent

import "time"

// Cordon records whether a machine is cordoned, and the observations that may lead to that or to its
// return.
type Cordon struct {
	Cordoned       bool            // the machine gets no more tasks and is to be returned to the cloud; never cleared
	IdleSince      time.Time       // since when the machine has had no tasks; zero if it has some
	UnderusedSince time.Time       // since when its few service replicas would fit on other machines; zero if they would not
	FailedJobs     map[string]bool // jobs with tasks that failed there since a task last succeeded
	AvoidUntil     time.Time       // no tasks are placed there until then, since the machine refused one for lack of capacity
}
