package job

import "errors"

// ErrNoTasks is returned for a main record that describes a job without tasks, or task ranges
// without tasks.
var ErrNoTasks = errors.New("no tasks")

// ErrOutOfRange is returned for a record with a number of tasks, or the number of a task or of a task
// range, that no job can have.
var ErrOutOfRange = errors.New("number out of range")
