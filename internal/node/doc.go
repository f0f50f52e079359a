// Package node describes this controller process: settings, policy, features, clock, source of
// randomness, log and incarnation. It is made at the start and does not change afterwards; a
// simulation replaces the clock and how work is run asynchronously before anything uses it.
package node
