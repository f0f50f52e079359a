// Package leadership records which shards this controller leads, until when it may act for them, and
// which of them a peer has acquired since, as its peers report. A shard has the host name of its
// home controller, the one that is preferred as its leader.
//
// A leader commits for a shard only on the condition that the shard's leader key still has the
// version that it had when the leadership began. It answers workers only while no other leader can
// be answering them: within its lease and a grace period, and while its record of cancellations is
// recent enough (see Table.MayAnswerHeartbeats). The package does no I/O; internal/election
// acquires and releases shards. The lock of internal/state guards the package's state.
package leadership
