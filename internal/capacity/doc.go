// Package capacity accounts for room: what machines have free, what a shard's capacity record
// offers to peers, what teams use of their quotas, and the claims of one transaction on all of
// these. The sum of the shares of a quota never exceeds the quota: a share is changed only in one
// write with the record of the shard that uses it. The lock of internal/state guards it.
package capacity
