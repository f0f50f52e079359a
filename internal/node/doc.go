// Package node describes this controller process: settings, policy, features, clock, random
// number generator, log and incarnation. The description is made at the start and does not change
// afterwards; a simulation replaces the clock and the asynchronous execution before its first use.
package node
