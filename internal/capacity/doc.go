// Package capacity accounts for room: what machines have free, what a shard's capacity record
// offers to peers, what teams use of their quotas, and the claims of one transaction on all of
// these.
//
// Invariants:
//   - the shares of a quota that the shards hold never exceed the quota in sum: a share is changed
//     only in one write with the capacity record of the shard that uses it;
//   - each transaction that claims room writes the capacity record of the room's shard on the
//     version that it was read with, so that of two claims on the same room one fails;
//   - a capacity record fits the state service's limit on values: machines that peers are least
//     likely to use are left out.
//
// The lock of internal/state guards all of it.
package capacity
