// Package estimate says how long tasks run, corrected by what their class's tasks took, and how
// long jobs may wait and take by their deadlines and the settings' objectives. The lock of
// internal/state guards it.
package estimate
