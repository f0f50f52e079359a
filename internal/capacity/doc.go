// Package capacity accounts for capacity and quotas: what machines have free, what a shard's
// capacity record offers to peers, what teams use of their quotas, and the claims that one
// transaction makes on all of these.
//
// Invariants:
//   - the shares of a quota that shards hold never exceed the quota in sum: a share is changed only
//     in the same transaction as the capacity record of the shard that uses it;
//   - each transaction that claims capacity writes the capacity record of the shard, conditional on
//     the version that was read, so that one of two concurrent claims on the same capacity fails;
//   - a capacity record stays within the state service's size limit of a value: the machines that
//     peers are least likely to use are omitted.
//
// The lock of internal/state guards all of it.
package capacity
