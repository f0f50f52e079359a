package api

import (
	"strconv"
	"strings"
)

// TaskName returns the name of task i of a job. Tasks are numbered from 0.
func TaskName(uid string, i int) string { return uid + "/" + strconv.Itoa(i) }

// SplitTaskName returns the job ID and the task number in a task's name. ok is false if s is not
// the name of a task.
func SplitTaskName(s string) (uid string, i int, ok bool) {
	uid, number, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(number)
	return uid, i, ok && err == nil && i >= 0 && i < MaxTasks
}
