package job

import "errors"

// ErrNoTasks is the error of a main record that describes a job without tasks.
var ErrNoTasks = errors.New("no tasks")
