// Package controller constructs a controller from its parts, runs its loops and shuts it down.
//
// docs/architecture.md shows the parts, who owns which state, and the way of a submission, a
// heartbeat, a cancellation and a configuration change through them.
package controller
