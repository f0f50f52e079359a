package api

import "strconv"

// MaxMessageBytes is the longest body of a request, and the longest line of a response to workers and
// users, that PROTOCOL allows.
const MaxMessageBytes = 64 << 10

// Lengths in bytes of the parts of an encoded heartbeat, without spaces, as in PROTOCOL's example.
const (
	taskEntryBytes = len(`{"piece":"","try":,"phase":"running"},`)
	attemptBytes   = len("99") // an attempt of a task that was started again a few times
	// heartbeatHeaderBytes is reserved for what a heartbeat contains besides the tasks.
	heartbeatHeaderBytes = 1 << 10
)

// Numbers of bytes by which the entry of a task in a heartbeat grows when the task ends: by itself or
// stopped without saving, and stopped after it has saved its progress.
const (
	EndGrowth      = len(`,"cause":"mates_gone"`)
	SavedEndGrowth = len(`,"cause":"stopped","saved":true`)
)

// MaxTasksBytes is the space that the tasks of a machine may take in the heartbeats of its worker.
const MaxTasksBytes = MaxMessageBytes - heartbeatHeaderBytes

// TaskReportBytes returns the space to reserve for each task of the job in the heartbeats of its
// worker. All tasks of an array or gang may end between two heartbeats. Replicas run on until they are
// stopped, so the space for their ends is not reserved: the commands that launch and stop them keep
// within what the heartbeats can show.
func (j *Job) TaskReportBytes() int {
	bytes := taskEntryBytes + len(j.UID) + len("/") + decimalDigits(j.Tasks-1) + attemptBytes
	if j.Kind != Service {
		bytes += EndGrowth
	}
	return bytes
}

// decimalDigits returns the number of digits of a number that is not negative.
func decimalDigits(n int) int {
	digits := 1
	for ; n >= 10; n /= 10 {
		digits++
	}
	return digits
}

// TaskEntryBytes returns the space that a task which has not ended takes in a heartbeat, without the
// digits of its attempt.
func TaskEntryBytes(task string) int { return taskEntryBytes + len(task) }

// entryBytes returns an upper bound on the length of the task's entry in a heartbeat.
func (t *TaskState) entryBytes() int {
	bytes := TaskEntryBytes(t.Task) + len(strconv.FormatUint(t.Attempt, 10))
	if t.Phase == TaskEnded {
		bytes += SavedEndGrowth
	}
	return bytes
}

// Parts of an encoded command and of a batch of commands.
const (
	commandBytes = len(`{"verb":"launch","piece":"","try":,"leewayS":},`)
	batchBytes   = len(`{"baton":18446744073709551615,"tenure":18446744073709551615,"orders":[]}`)
	// maxEscapedBytes is the most bytes that JSON uses for one byte of a string.
	maxEscapedBytes = len(`\u0000`)
)

// MaxCommandsBytes is the space for the commands in one message to a worker.
const MaxCommandsBytes = MaxMessageBytes - batchBytes

// EncodedBytes returns an upper bound on the length of the encoded command with the comma after it.
func (c *Command) EncodedBytes() int {
	bytes := commandBytes + len(strconv.FormatUint(c.Attempt, 10))
	for i := range len(c.Task) {
		bytes += encodedByteLength(c.Task[i])
	}
	if c.GraceS != nil {
		bytes += len(strconv.FormatFloat(*c.GraceS, 'g', -1, 64)) + maxExponentExpansion
	}
	return bytes
}

// maxExponentExpansion is the most bytes by which JSON's form of a number exceeds the shortest one:
// numbers below 1e21 are written without an exponent.
const maxExponentExpansion = 21

// encodedByteLength returns how many bytes JSON uses at most for one byte of a string.
func encodedByteLength(b byte) int {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9', b == '-', b == '/', b == '_':
		return 1
	}
	return maxEscapedBytes
}
