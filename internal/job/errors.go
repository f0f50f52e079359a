package job

import "errors"

// ErrNoTasks is returned for a main record that describes a job without tasks, or task ranges
// without tasks.
var ErrNoTasks = errors.New("no tasks")
