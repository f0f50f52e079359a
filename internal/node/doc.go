// Package node describes this controller process: its settings, policy, features, clock, random
// number generator, log and incarnation. The description is made at the start and does not change
// afterwards, except that a simulation replaces the clock and RunAsync before they are first used.
package node
