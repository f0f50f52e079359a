package sched

import "math"

// fitKey is the sort key of a machine that fits a task: a lower key is a better fit.
type fitKey uint64

// The bits of a fitKey. The bits between mixedKindsBit and imageFirstBit hold the share of the machine
// that would stay free, in steps of epsilon.
const (
	onDemandBit     fitKey = 1 << iota // not a spot machine
	missingImageBit                    // the machine lacks the task's image
	mixedKindsBit                      // it runs tasks of the other job kind
	freeShareShift         = iota

	// imageFirstBit outranks all others. It is set if the machine lacks the image and the task would
	// miss its start objective by fetching it.
	imageFirstBit fitKey = 1 << 62
)

// fitKeyOf returns the sort key of a machine for a task. The machine that would be left fullest
// comes first. Ties go to a machine without tasks of the other kind, then to one that has the
// image, then to a spot machine, which leaves on-demand machines to tasks that require them. The
// image outranks fullness only for a task that would miss its start objective by fetching it. ok is
// false if the machine lacks capacity or a required image, or is not allowed. fitKeyOf does not
// check ZoneAllowed, the zones left by the job's other tasks.
func fitKeyOf(h *Host, request *TaskRequest) (key fitKey, ok bool) {
	if !h.Free.Fits(request.Need) || !request.allowsMachine(h.MachineType, h.Zone, h.Spot) {
		return 0, false
	}
	return completeFitKey(freeShareKey(h, request), h, request)
}

// freeShareKey returns the bits of a fitKey that hold the share of the machine that would stay free.
func freeShareKey(h *Host, request *TaskRequest) fitKey {
	share := min(max(freeShareAfter(h, request.Need), 0), 1)
	return fitKey(math.Round(share/epsilon)) << freeShareShift
}

// completeFitKey adds the other bits to the free share key of a machine with enough capacity. ok is
// false if the machine lacks a required image.
func completeFitKey(key fitKey, h *Host, request *TaskRequest) (complete fitKey, ok bool) {
	hasImage := len(h.Images) > 0 && h.Images[request.Image]
	if request.RequireImage && !hasImage {
		return 0, false
	}
	if otherKindTasks(h, request) > 0 {
		key |= mixedKindsBit
	}
	if !hasImage {
		key |= missingImageBit
		if request.PreferImage {
			key |= imageFirstBit
		}
	}
	if !h.Spot {
		key |= onDemandBit
	}
	return key, true
}

// candidate is a machine that fits a task.
type candidate struct {
	key  fitKey
	host *Host
}

// before reports whether c fits better than other. Ties are ordered by machine name.
func (c candidate) before(other candidate) bool {
	return c.key < other.key || c.key == other.key && c.host.Name < other.host.Name
}

// FullestFit returns the machine with the lowest fitKey for the task, or nil if none fits.
func FullestFit(hosts []*Host, request *TaskRequest) *Host {
	var best candidate
	for _, h := range hosts {
		if !h.Free.Fits(request.Need) || !request.allowsMachine(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		key := freeShareKey(h, request)
		// Unless the image outranks fullness, a machine that would be left emptier than the best so
		// far is worse whatever its other bits. Skipping it avoids the image lookup, the most
		// expensive step.
		if best.host != nil && !request.PreferImage && key > best.key {
			continue
		}
		key, ok := completeFitKey(key, h, request)
		if !ok || request.ZoneAllowed != nil && !request.ZoneAllowed(h.Zone) {
			continue
		}
		if current := (candidate{key, h}); best.host == nil || current.before(best) {
			best = current
		}
	}
	return best.host
}
