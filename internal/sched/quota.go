package sched

import "math"

// quotaSteps is the number of steps that a limit is divided into: a shard reserves a team's
// limit in such steps, so that most placements there change no record but the
// shard's own.
const quotaSteps = 32

// nearLimit is the share of a limit from which it counts as near.
const nearLimit = 3. / 4

// excessSteps is the number of steps unused from which a shard gives some back.
const excessSteps = 3

// QuotaShare returns the share of a team's limit that a shard should hold for what the
// team's tasks use there, while the other shards hold others: a step more than is
// used while the limit is far away, exactly what is used when it is near, so
// that no shard keeps from others what it does not use. ok is false if the limit does not
// leave as much as is used. An amount without a limit is 0 in limit.
func QuotaShare(limit, others, use Resources) (share Resources, ok bool) {
	cpus, cpusLeft := quotaShareOf(limit.CPUs, others.CPUs, use.CPUs)
	gpus, gpusLeft := quotaShareOf(limit.GPUs, others.GPUs, use.GPUs)
	return Resources{CPUs: cpus, GPUs: gpus}, cpusLeft && gpusLeft
}

// quotaShareOf is QuotaShare for one kind of resource.
func quotaShareOf(limit, others, use float64) (share float64, ok bool) {
	if limit <= 0 {
		return 0, true
	}
	if use > limit-others+epsilon {
		return use, false
	}
	step := limit / quotaSteps
	share = math.Ceil(use/step+1) * step
	if others+share > limit*nearLimit {
		return use, true
	}
	return share, true
}

// HoldsExcessQuota reports whether a shard holds so much more of a limit than is used there
// that it should give some back.
func HoldsExcessQuota(limit, others, held, use Resources) bool {
	return holdsExcess(limit.CPUs, others.CPUs, held.CPUs, use.CPUs) ||
		holdsExcess(limit.GPUs, others.GPUs, held.GPUs, use.GPUs)
}

// holdsExcess is HoldsExcessQuota for one kind of resource.
func holdsExcess(limit, others, held, use float64) bool {
	if limit <= 0 || held <= use+epsilon {
		return false
	}
	return others+held > limit*nearLimit || held-use > limit*excessSteps/quotaSteps
}

// WithinQuota reports whether use is within a held share, where there is a limit.
func WithinQuota(limit, held, use Resources) bool {
	return (limit.CPUs <= 0 || use.CPUs <= held.CPUs+epsilon) && (limit.GPUs <= 0 || use.GPUs <= held.GPUs+epsilon)
}
