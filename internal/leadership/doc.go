// Package leadership records which shards this controller leads, until when it may act for them, and
// which of them its peers have reported as acquired by another controller.
//
// Each commit of a leader requires that the leader's key still has the version that it had when the
// leadership began. A leader answers workers only while no other leader can be answering them:
// within its lease and a grace period, and while its record of cancellations is recent enough (see
// Table.MayAnswerHeartbeats). The package does no I/O; internal/election acquires and releases
// shards. The lock of internal/state guards the package's state.
package leadership
