package sched

import "math"

// fitKey orders the machines that fit a task: the lower, the better.
type fitKey uint64

// The bits of a fitKey. The bits between mixedBit and imageFirstBit say how empty the machine
// would be left, in steps of epsilon.
const (
	ordinaryBit    fitKey = 1 << iota // not a spot machine
	noImageBit                        // it lacks the task's image
	mixedBit                          // it has tasks of the other kind
	emptinessShift        = iota

	// imageFirstBit is above all others: the machine lacks the image of a task that would miss
	// its start objective by fetching it.
	imageFirstBit fitKey = 1 << 62
)

// fitKeyOf returns how well a machine fits a task: the fullest first; among equals one
// without tasks of the other kind, then one that has the image, then a spot one, so
// that ordinary machines stay for those that need them. Only a task that would miss its start
// objective by fetching its image looks for the image before fullness. ok is false if the
// machine has no room, lacks an image that it must have, or is not allowed; zones that the
// job's other tasks leave are not looked at.
func fitKeyOf(h *Host, a *TaskRequest) (key fitKey, ok bool) {
	if !h.Free.Fits(a.Need) || !a.allowsKind(h.MachineType, h.Zone, h.Spot) {
		return 0, false
	}
	return completeFitKey(emptinessKey(h, a), h, a)
}

// emptinessKey returns the bits of a fitKey that say how empty the machine would be left.
func emptinessKey(h *Host, a *TaskRequest) fitKey {
	return fitKey(math.Round(max(emptyShare(h, a.Need), 0)/epsilon)) << emptinessShift
}

// completeFitKey adds the other bits to the emptiness of a machine with room. ok is false if
// the machine lacks an image that it must have.
func completeFitKey(key fitKey, h *Host, a *TaskRequest) (complete fitKey, ok bool) {
	hasImage := len(h.Images) > 0 && h.Images[a.Image]
	if a.RequireImage && !hasImage {
		return 0, false
	}
	if otherKindTasks(h, a) > 0 {
		key |= mixedBit
	}
	if !hasImage {
		key |= noImageBit
		if a.PreferImage {
			key |= imageFirstBit
		}
	}
	if !h.Spot {
		key |= ordinaryBit
	}
	return key, true
}

// candidate is a machine that fits a task.
type candidate struct {
	key  fitKey
	host *Host
}

// before reports whether x fits better than y, by name among equals.
func (x candidate) before(y candidate) bool {
	return x.key < y.key || x.key == y.key && x.host.Name < y.host.Name
}

// FullestFit returns the machine that fits the task best by fitKeyOf, nil if none does.
func FullestFit(hosts []*Host, a *TaskRequest) *Host {
	var best candidate
	for _, h := range hosts {
		if !h.Free.Fits(a.Need) || !a.allowsKind(h.MachineType, h.Zone, h.Spot) {
			continue
		}
		key := emptinessKey(h, a)
		// One that would be left emptier than the best so far is worse whatever else it
		// has; looking its image up is the most expensive step.
		if best.host != nil && !a.PreferImage && key > best.key {
			continue
		}
		key, ok := completeFitKey(key, h, a)
		if !ok || a.ZoneAllowed != nil && !a.ZoneAllowed(h.Zone) {
			continue
		}
		if x := (candidate{key, h}); best.host == nil || x.before(best) {
			best = x
		}
	}
	return best.host
}
