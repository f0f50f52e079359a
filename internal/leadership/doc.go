// Package leadership keeps which shards this controller leads, until when it may act for them, and
// which shards its peers have reported as acquired.
//
// A leader commits only on condition of the version of its leadership record. It answers workers
// only while no other leader can be answering them: within its lease and a grace period, and while
// its record of cancellations is recent enough (see Table.MayAnswerHeartbeats). The package does no
// I/O; internal/election acquires and releases shards. The lock of internal/state guards the
// package's state.
package leadership
