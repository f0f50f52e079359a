// Package election keeps this controller's lease on the state service, registers it, and
// acquires, releases and hands over the leadership of shards. One goroutine runs it.
package election
