package config

// The least that the service can work under: the longest step that can't be split (a placement
// with its shard's capacity record and its team's) takes 4 changes, and a submission of
// ordinary length has to fit a value.
const (
	minTxnOps  = 4
	minValueKB = 1
)

// The least that a controller of any deployment takes: its program and an empty replica, and
// some connections of each kind.
const (
	minMemoryMB = 16
	minSockets  = 64
	// socketsPerMember are those that another controller takes: a sixteenth of the sockets
	// serves the other controllers' connections.
	socketsPerMember = 16
)

const (
	bytesPerMB = 1 << 20
	// memoryShare is the share of the memory limit that the collector aims at: the limit counts
	// the whole process, stacks and buffers included.
	memoryShare = 0.7
	// maxMemoryTarget is beyond any machine, and below what a conversion can't hold.
	maxMemoryTarget = 1 << 40
)

// MaxProcs returns how many processors the process uses at once: the cores that the settings
// name, rounded, but at least one and at most those there are.
func (s *Settings) MaxProcs(available int) int {
	return max(1, int(min(s.Facts.Limits.Cores+0.5, float64(available))))
}

// MemoryTarget returns the number of bytes below which the collector keeps the heap and all
// else that it knows of.
func (s *Settings) MemoryTarget() int64 {
	return int64(min(s.Facts.Limits.MemoryMB, maxMemoryTarget/bytesPerMB) * memoryShare * bytesPerMB)
}

// LowestLimits returns the limits that hold whatever the state service's become: the smaller of
// today's and the coming ones. Nothing new is made larger than they allow.
func (s *Settings) LowestLimits() StateLimits {
	lowest := s.Facts.State.StateLimits
	if next := s.Facts.State.NextLimits; next != nil {
		lowest.RPS = min(lowest.RPS, next.RPS)
		lowest.WriteRPS = min(lowest.WriteRPS, next.WriteRPS)
		lowest.ValueKB = min(lowest.ValueKB, next.ValueKB)
		lowest.TxnOps = min(lowest.TxnOps, next.TxnOps)
	}
	return lowest
}
