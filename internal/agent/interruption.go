package agent

import "violetturn/internal/statecache"

// IsInterruptionDue reports whether the cloud reclaims the machine so soon that a task of the job
// must stop now. Until then the task continues to run, since it may complete.
func (r *Registry) IsInterruptionDue(agent *Agent, j *statecache.Job) bool {
	if agent.Heartbeat == nil || agent.Heartbeat.SpotNoticeS == nil {
		return false
	}
	neededS := 2*j.Record.Spec.SaveDurationS + 2*r.node.Settings.HeartbeatInterval().Seconds()
	if j.IsGang() {
		neededS += r.node.Settings.GangPeerTimeout().Seconds() // time to send the stop commands to all tasks of the gang
	}
	return *agent.Heartbeat.SpotNoticeS <= neededS
}

// IsGangInterruptionDue reports whether the cloud reclaims a machine with a task of a gang so
// soon that all tasks of the gang must save now.
func (r *Registry) IsGangInterruptionDue(j *statecache.Job) bool {
	for _, taskRange := range j.Ranges {
		for _, placement := range taskRange.Record.Placements {
			if agent := r.agents[placement.Host]; agent != nil && r.IsInterruptionDue(agent, j) {
				return true
			}
		}
	}
	return false
}
