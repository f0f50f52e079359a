package agent

import "violetturn/internal/statecache"

// IsInterruptionDue reports whether the cloud takes the machine away so soon that a task of the
// job has to leave now; until then it runs on, for it may complete.
func (r *Registry) IsInterruptionDue(agent *Agent, j *statecache.Job) bool {
	if agent.Heartbeat == nil || agent.Heartbeat.SpotNoticeS == nil {
		return false
	}
	needed := 2*j.Record.Spec.SaveS + 2*r.node.Settings.HeartbeatInterval().Seconds()
	if j.IsGang() {
		needed += r.node.Settings.GangPeerTimeout().Seconds() // to tell all of them
	}
	return *agent.Heartbeat.SpotNoticeS <= needed
}

// IsGangInterruptionDue reports whether a machine with a task of a gang is taken away so soon that
// all of them have to save now.
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
