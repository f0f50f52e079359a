package api

import (
	"strconv"
	"strings"
)

// TaskName returns the name of a job's task i, counted from 0.
func TaskName(uid string, i int) string { return uid + "/" + strconv.Itoa(i) }

// SplitTaskName returns the job and the number of a task's name; ok reports whether it is one.
func SplitTaskName(s string) (uid string, i int, ok bool) {
	uid, number, ok := strings.Cut(s, "/")
	i, err := strconv.Atoi(number)
	return uid, i, ok && err == nil && i >= 0 && i < MaxTasks
}
