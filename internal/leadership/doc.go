// Package leadership keeps which shards this controller leads, until when it may act for them,
// and what it knows of its peers' claims.
//
// A leader commits only on the version of its leadership record, and answers workers only
// while no other leader can be answering: within its lease and a grace, and while it knows of
// all cancellations (see Table.MayAnswerHeartbeats). The package does no I/O; internal/election
// acquires and releases. The lock of internal/state guards it.
package leadership
