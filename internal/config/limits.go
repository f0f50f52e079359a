package config

import "violetturn/internal/numeric"

// Lowest limits of the state service under which this service works. The largest step that must be
// atomic (a placement together with the capacity record of its shard and the quota record of its
// team) takes 4 writes, and a submission of ordinary length has to fit in one value.
const (
	minTxnOps  = 4
	minValueKB = 1
)

// Lowest limits of a controller's machine in any deployment: memory for the program and an empty
// cache, and sockets for some connections of each kind.
const (
	minMemoryMB = 16
	minSockets  = 64
	// socketsPerMember is the number of sockets required for each other controller: a sixteenth
	// of the sockets is reserved for connections of the other controllers.
	socketsPerMember = 16
)

// Highest limits that the service makes use of. Higher ones count as these.
const (
	// maxValueKB is the size of a whole transaction (PROTOCOL), so no value can be larger.
	maxValueKB = 64
	// maxRecordKB is the largest size of a new record: a placement writes one of a job and one of a
	// shard in the same transaction.
	maxRecordKB = 24
	maxTxnOps   = 1 << 20
	maxSockets  = 1 << 20
)

const (
	bytesPerMB = 1 << 20
	// memoryShare is the fraction of the machine's memory limit that the garbage collector may
	// use. The machine's limit applies to the whole process, including stacks and buffers.
	memoryShare = 0.7
	// maxMemoryTarget caps the memory target. It exceeds the memory of any machine and is small
	// enough that the conversion to an integer can't overflow.
	maxMemoryTarget = 1 << 40
)

// MaxProcs returns how many CPUs the process may use at once: the configured number of
// cores, rounded, but at least one and at most the available ones.
func (s *Settings) MaxProcs(available int) int {
	return max(1, int(min(s.Facts.Limits.Cores+0.5, float64(available))))
}

// MemoryTarget returns the memory limit of the Go runtime in bytes.
func (s *Settings) MemoryTarget() int64 {
	return int64(min(s.Facts.Limits.MemoryMB, maxMemoryTarget/bytesPerMB) * memoryShare * bytesPerMB)
}

// LowestLimits returns the lower of the current and the announced limits of the state service.
// New records and transactions stay within them, so that they remain valid when the limits change.
// The size of a value is at most maxRecordKB.
func (s *Settings) LowestLimits() StateLimits {
	lowest := s.Facts.State.StateLimits
	if next := s.Facts.State.NextLimits; next != nil {
		lowest.RPS = min(lowest.RPS, next.RPS)
		lowest.WriteRPS = min(lowest.WriteRPS, next.WriteRPS)
		lowest.ValueKB = min(lowest.ValueKB, next.ValueKB)
		lowest.TxnOps = min(lowest.TxnOps, next.TxnOps)
	}
	lowest.ValueKB = min(lowest.ValueKB, maxRecordKB)
	return lowest
}

// boundNumbers bounds the numbers of checked settings, so that all that is derived from them can be
// calculated.
func (s *Settings) boundNumbers() {
	f := &s.Facts
	w := &f.Workers
	numeric.Amounts(&w.HeartbeatIntervalS, &w.LeaseS, &w.CancelTimeoutS, &w.GangGatherTimeoutS, &w.GangPeerTimeoutS)
	numeric.Amounts(&f.Cloud.RPS, &f.Cloud.ListLagS, &f.Limits.Cores, &f.Limits.MemoryMB)
	f.Limits.MaxSockets = min(f.Limits.MaxSockets, maxSockets)
	f.State.bound()
	if f.State.NextLimits != nil {
		f.State.NextLimits.bound()
	}
	for i := range f.Teams {
		t := &f.Teams[i]
		numeric.Amounts(&t.GuaranteedCPUs, &t.MaxCPUs, &t.GuaranteedGPUs, &t.MaxGPUs)
	}
	for i := range f.Objectives {
		numeric.Amounts(&f.Objectives[i].WithinS)
	}
}

// bound bounds the limits as boundNumbers does.
func (l *StateLimits) bound() {
	numeric.Amounts(&l.RPS, &l.WriteRPS)
	l.ValueKB = min(l.ValueKB, maxValueKB)
	l.TxnOps = min(l.TxnOps, maxTxnOps)
}
