package sched

import "math"

// quotaSteps is the number of steps into which a limit is divided. A shard reserves its share of a
// team's limit in whole steps, so that most placements in the shard change no record but the
// shard's own.
const quotaSteps = 32

// nearLimitShare is the share of a limit above which the shares held by all shards together count
// as near the limit.
const nearLimitShare = 3. / 4

// maxUnusedSteps is the number of unused steps above which a shard releases some of its share.
const maxUnusedSteps = 3

// QuotaShare returns the share of a team's limit that a shard should hold for what the team's tasks
// use there, given the shares that the other shards hold. Far from the limit it is the usage rounded
// up to a whole step, plus one step. Near the limit it is exactly the usage, so that no shard
// withholds from others what it does not use. ok is false if the other shards leave less than the
// usage. A limit of 0 means that the resource is not limited.
func QuotaShare(limit, heldByOthers, used Resources) (share Resources, ok bool) {
	cpus, cpusOK := quotaShareOfResource(limit.CPUs, heldByOthers.CPUs, used.CPUs)
	gpus, gpusOK := quotaShareOfResource(limit.GPUs, heldByOthers.GPUs, used.GPUs)
	return Resources{CPUs: cpus, GPUs: gpus}, cpusOK && gpusOK
}

// quotaShareOfResource is QuotaShare for one kind of resource.
func quotaShareOfResource(limit, heldByOthers, used float64) (share float64, ok bool) {
	if limit <= 0 {
		return 0, true
	}
	if used > limit-heldByOthers+epsilon {
		return used, false
	}
	step := limit / quotaSteps
	if step < epsilon { // too small to divide by
		return used, true
	}
	share = math.Ceil(used/step+1) * step
	if heldByOthers+share > limit*nearLimitShare {
		return used, true
	}
	return share, true
}

// HoldsExcessQuota reports whether a shard holds so much more of a limit than is used there that it
// should release some.
func HoldsExcessQuota(limit, heldByOthers, held, used Resources) bool {
	return holdsExcess(limit.CPUs, heldByOthers.CPUs, held.CPUs, used.CPUs) ||
		holdsExcess(limit.GPUs, heldByOthers.GPUs, held.GPUs, used.GPUs)
}

// holdsExcess is HoldsExcessQuota for one kind of resource.
func holdsExcess(limit, heldByOthers, held, used float64) bool {
	if limit <= 0 || held <= used+epsilon {
		return false
	}
	return heldByOthers+held > limit*nearLimitShare || held-used > limit*maxUnusedSteps/quotaSteps
}

// heldTolerance is the amount by which the usage may exceed a held share. It is less than a rounding
// step, since otherwise each shard could use a step more than it holds.
const heldTolerance = epsilon / 2

// WithinQuota reports whether the usage is within the held share for each resource that has a limit.
func WithinQuota(limit, held, used Resources) bool {
	return (limit.CPUs <= 0 || used.CPUs <= held.CPUs+heldTolerance) && (limit.GPUs <= 0 || used.GPUs <= held.GPUs+heldTolerance)
}
