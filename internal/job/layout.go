package job

import "violetturn/internal/api"

// Upper bounds in bytes of parts of encoded records.
const (
	placementBytes      = 80  // one placement, with a host name of 20 bytes
	densePlacementBytes = 48  // one placement, with a host name of 10 bytes
	recordGrowthBytes   = 256 // growth of a main record after the job was accepted, except for placements
	gangGrowthBytes     = 128 // additional growth of a gang's main record
)

const (
	bytesPerKB   = 1024
	maxRangeSize = 512 // tasks in a task range, however large the limit on values
)

// ChooseLayout sets the size of the job's task ranges, and whether its tasks are recorded in the
// main record, for values of at most valueKB KiB and a main record that has recordBytes bytes without
// tasks. A job whose tasks all fit into its main record needs no other record, which halves its
// writes.
//
// dense selects the lower estimate per placement, for host names of usual length. A record that
// exceeds the limit nevertheless is split, which the version in production can't do.
func (r *Record) ChooseLayout(valueKB float64, recordBytes int, dense bool) {
	bytesPerTask := placementBytes
	if dense {
		bytesPerTask = densePlacementBytes
	}
	r.RangeSize = rangeSizeFor(valueKB, bytesPerTask)
	if r.Spec.Kind == api.Gang {
		recordBytes += gangGrowthBytes
	}
	if r.Spec.Tasks <= r.RangeSize && recordBytes+r.Spec.Tasks*bytesPerTask+recordGrowthBytes <= int(valueKB*bytesPerKB) {
		r.Inline = true
	}
}

// TaskRangeSize returns the number of tasks in a task range whose record fits a value of
// valueKB KiB even with every task placed.
func TaskRangeSize(valueKB float64) int { return rangeSizeFor(valueKB, placementBytes) }

// rangeSizeFor returns the number of tasks in a task range. The number is even, so that a spread
// job can have half of a range in each of two zones.
func rangeSizeFor(valueKB float64, bytesPerTask int) int {
	tasks := int(valueKB*bytesPerKB) / bytesPerTask / 2 * 2
	return min(max(tasks, 2), maxRangeSize)
}
