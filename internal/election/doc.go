// Package election maintains this controller's lease on the state service, registers the
// controller, and acquires and releases the leadership of shards. All of it runs in one goroutine;
// the lock of internal/state is never held during a request.
//
// Invariants:
//   - the leader's key of a shard is written under the lease, and only if it still has the version
//     on which the decision was based, so only one of several controllers acquires the shard;
//   - each acquisition raises the term that all shards share, which fences earlier leaders;
//   - the lease time counts from before the request was sent, less a margin for clock drift;
//   - a shard is released only after the responses to its workers have stopped.
package election
