// Package estimate estimates how long tasks run, with the users' estimates corrected by the
// observed run times of the class, and how long jobs may wait and run given their deadlines and the
// objectives in the settings. The lock of internal/state guards it.
package estimate
