package job

import "violetturn/internal/api"

// Sizes in bytes of recorded forms, at most.
const (
	placementBytes      = 80  // one placement, with a host name of 20 bytes
	densePlacementBytes = 48  // one placement, with a host name of 10 bytes
	recordExtraBytes    = 256 // what a main record gains after its acceptance, placements aside
	gangExtraBytes      = 128 // what the main record of a gang gains besides
)

const (
	bytesPerKB    = 1024
	mostRangeSize = 512 // tasks in a task range, however large a value may be
)

// ChooseLayout decides how the job's tasks are recorded, for values of at most valueKB KiB and
// a record that has size bytes now. A job whose tasks all fit into its main record needs no
// other one, which halves its writes. dense assumes host names of usual length; a record that
// outgrows a value all the same is split, which the version in production can't do.
func (r *Record) ChooseLayout(valueKB float64, size int, dense bool) {
	perTask := placementBytes
	if dense {
		perTask = densePlacementBytes
	}
	r.RangeSize = rangeSizeFor(valueKB, perTask)
	if r.Spec.Kind == api.Gang {
		size += gangExtraBytes
	}
	if r.Spec.Tasks <= r.RangeSize && size+r.Spec.Tasks*perTask+recordExtraBytes <= int(valueKB*bytesPerKB) {
		r.Inline = true
	}
}

// TaskRangeSize returns the number of tasks in a task range, such that its record fits a
// value of valueKB KiB even with every task placed.
func TaskRangeSize(valueKB float64) int { return rangeSizeFor(valueKB, placementBytes) }

// rangeSizeFor returns an even number of tasks, so that a spread job can have half of a range
// in each of two zones.
func rangeSizeFor(valueKB float64, perTask int) int {
	even := int(valueKB*bytesPerKB) / perTask / 2 * 2
	return min(max(even, 2), mostRangeSize)
}
