// Package election keeps this controller's lease on the state service, registers it, and
// acquires and releases the leadership of shards. One goroutine runs it; the lock of
// internal/state is never held across a request.
//
// Invariants:
//   - the leader's key of a shard is written under the lease, and only if its version is the one
//     that the decision rests on: of several controllers one acquires the shard;
//   - each acquisition raises the term that all shards share, which fences earlier leaders off;
//   - the time of the lease counts from before its request was sent, a margin for the clock less;
//   - a shard is released only after the answers to its workers have stopped.
package election
