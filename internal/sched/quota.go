package sched

import "math"

// quotaSteps is into how many steps a limit is divided: a shard reserves a team's
// limit in such steps, so that most placements there change no record but the
// shard's own.
const quotaSteps = 32

// QuotaShare returns the share of a team's limit that a shard should hold for what the
// team's tasks use there, when the other shards hold others: a step more than is
// used while the limit is far away, exactly what is used when it is near, so
// that no shard keeps from others what it does not use. It fails when the limit
// does not leave as much. Amounts without a limit are 0 in limit.
func QuotaShare(limit, others, use Resources) (Resources, bool) {
	ok := true
	one := func(limit, others, use float64) float64 {
		if limit <= 0 {
			return 0
		}
		room := limit - others
		if use > room+eps {
			ok = false
			return use
		}
		step := limit / quotaSteps
		want := math.Ceil(use/step+1) * step
		if others+want > limit*3/4 {
			return use
		}
		return want
	}
	return Resources{one(limit.CPUs, others.CPUs, use.CPUs), one(limit.GPUs, others.GPUs, use.GPUs), 0}, ok
}

// HoldsExcessQuota reports whether a shard holds so much more of a limit than is used there
// that it should give some back.
func HoldsExcessQuota(limit, others, held, use Resources) bool {
	one := func(limit, others, held, use float64) bool {
		if limit <= 0 || held <= use+eps {
			return false
		}
		return others+held > limit*3/4 || held-use > limit*3/quotaSteps
	}
	return one(limit.CPUs, others.CPUs, held.CPUs, use.CPUs) || one(limit.GPUs, others.GPUs, held.GPUs, use.GPUs)
}

// WithinQuota reports whether use is within a held share, where there is a limit.
func WithinQuota(limit, held, use Resources) bool {
	return (limit.CPUs <= 0 || use.CPUs <= held.CPUs+eps) && (limit.GPUs <= 0 || use.GPUs <= held.GPUs+eps)
}
