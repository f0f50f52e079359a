// Package controller constructs a controller from its components, runs its loops and shuts it
// down.
//
// docs/architecture.md describes the components, which of them owns which state, and how a
// submission, a heartbeat, a cancellation and a configuration change pass through them.
package controller
