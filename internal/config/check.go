package config

import (
	"fmt"
	"math"
	"net"
)

// FieldError reports an invalid setting.
type FieldError struct {
	Field  string // path of the setting, as in "facts.state.rps"
	Reason string
}

// Error implements error. The text is one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// newFieldError returns a FieldError with a formatted reason.
func newFieldError(field, reason string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(reason, args...)}
}

// Reasons used for more than one setting.
const (
	reasonMissing     = "missing"
	reasonNotUnique   = "missing or not unique"
	reasonNotPositive = "must be a number above 0"
	reasonNegative    = "must be a number of at least 0"
)

// numericSetting is a numeric setting and its path.
type numericSetting struct {
	field string
	value float64
}

// check returns an error for the first invalid setting. It also completes the announced limits of
// the state service (facts.state.next) with the current ones.
func (s *Settings) check() error {
	steps := []func() error{
		s.checkNames, s.checkPositiveNumbers, s.checkLimits, s.checkNextLimits, s.checkWorkers, s.checkTeams, s.checkTimes,
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks the names and addresses of the controllers and external systems, and the zones.
func (s *Settings) checkNames() error {
	if s.HostName == "" {
		return newFieldError("host_name", reasonMissing)
	}
	if s.Zone == "" {
		return newFieldError("site", reasonMissing)
	}
	if err := s.checkMembers(); err != nil {
		return err
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if n := s.Facts.ControllerCount; n != len(s.Members)+1 {
		return newFieldError("facts.size", "%d, but members name %d controllers with this one", n, len(s.Members)+1)
	}
	if len(s.Facts.Zones) == 0 {
		return newFieldError("facts.zones", reasonMissing)
	}
	return nil
}

// checkMembers checks that every controller has a unique, non-empty name.
func (s *Settings) checkMembers() error {
	seen := map[string]bool{s.HostName: true}
	for i, m := range s.Members {
		if m.HostName == "" || seen[m.HostName] {
			return newFieldError(fmt.Sprintf("members[%d].host_name", i), reasonNotUnique)
		}
		seen[m.HostName] = true
	}
	return nil
}

// checkAddresses checks that all addresses have the form host:port.
func (s *Settings) checkAddresses() error {
	type address struct{ field, value string }
	addresses := []address{
		{"serve_on", s.ServeOn},
		{"cluster_listen", s.ClusterListen},
		{"external.cloud", s.External.Cloud},
		{"external.state", s.External.State},
	}
	for i, m := range s.Members {
		addresses = append(addresses, address{fmt.Sprintf("members[%d].addr", i), m.Addr})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return newFieldError(a.field, "%q is not host:port", a.value)
		}
	}
	return nil
}

// checkPositiveNumbers checks the settings that must be greater than zero.
func (s *Settings) checkPositiveNumbers() error {
	f := &s.Facts
	for _, a := range []numericSetting{
		{"facts.workers.report_s", f.Workers.HeartbeatIntervalS},
		{"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.cancel_s", f.Workers.CancelTimeoutS},
		{"facts.state.rps", f.State.RPS},
		{"facts.state.write_rps", f.State.WriteRPS},
		{"facts.state.value_kb", f.State.ValueKB},
		{"facts.state.txn_ops", float64(f.State.TxnOps)},
		{"facts.cloud.rps", f.Cloud.RPS},
		{"facts.machine_limits.memory_mb", f.Limits.MemoryMB},
		{"facts.machine_limits.max_sockets", float64(f.Limits.MaxSockets)},
	} {
		if !isPositive(a.value) {
			return newFieldError(a.field, reasonNotPositive)
		}
	}
	return nil
}

// isPositive reports whether v is greater than zero and finite.
func isPositive(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

// isNonNegative reports whether v is at least zero and finite.
func isNonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// checkLimits checks the limits of the state service and of the controller's machine.
func (s *Settings) checkLimits() error {
	if err := s.Facts.State.check("facts.state"); err != nil {
		return err
	}
	l := &s.Facts.Limits
	if !isNonNegative(l.Cores) {
		return newFieldError("facts.machine_limits.cores", reasonNegative)
	}
	if l.MemoryMB < minMemoryMB {
		return newFieldError("facts.machine_limits.memory_mb", "%g, the service needs at least %d", l.MemoryMB, minMemoryMB)
	}
	if need := max(minSockets, socketsPerMember*len(s.Members)); l.MaxSockets < need {
		return newFieldError("facts.machine_limits.max_sockets",
			"%d, the service needs at least %d with so many controllers", l.MaxSockets, need)
	}
	return nil
}

// check returns an error if the limits are too low for this service. field is the path of the limits.
func (l *StateLimits) check(field string) error {
	if l.TxnOps < minTxnOps {
		return newFieldError(field+".txn_ops", "%d, the service needs at least %d changes in one transaction", l.TxnOps, minTxnOps)
	}
	if l.ValueKB < minValueKB {
		return newFieldError(field+".value_kb", "%g, the service needs values of at least %d KiB", l.ValueKB, minValueKB)
	}
	return nil
}

// checkNextLimits checks the announced limits of the state service. A limit that is not set there
// keeps its current value; one that is set must be high enough for this service.
func (s *Settings) checkNextLimits() error {
	const field = "facts.state.next"
	current, next := &s.Facts.State.StateLimits, s.Facts.State.NextLimits
	if next == nil {
		return nil
	}
	for _, limit := range []struct {
		name    string
		value   *float64
		current float64
	}{
		{"rps", &next.RPS, current.RPS},
		{"write_rps", &next.WriteRPS, current.WriteRPS},
		{"value_kb", &next.ValueKB, current.ValueKB},
	} {
		if !s.isSet("facts", "state", "next", limit.name) {
			*limit.value = limit.current
		} else if !isPositive(*limit.value) {
			return newFieldError(field+"."+limit.name, reasonNotPositive)
		}
	}
	if !s.isSet("facts", "state", "next", "txn_ops") {
		next.TxnOps = current.TxnOps
	}
	return next.check(field)
}

// checkWorkers checks the workers' intervals and timeouts.
func (s *Settings) checkWorkers() error {
	w := &s.Facts.Workers
	for _, a := range []numericSetting{
		{"facts.workers.gang_wait_s", w.GangGatherTimeoutS},
		{"facts.workers.gang_peer_s", w.GangPeerTimeoutS},
	} {
		if !isNonNegative(a.value) {
			return newFieldError(a.field, reasonNegative)
		}
	}
	if w.HeartbeatIntervalS >= w.LeaseS {
		return newFieldError("facts.workers.lease_s", "must be longer than report_s")
	}
	return nil
}

// checkTimes checks the times that may be zero of the cloud and the objectives.
func (s *Settings) checkTimes() error {
	if !isNonNegative(s.Facts.Cloud.ListLagS) {
		return newFieldError("facts.cloud.list_lag_s", reasonNegative)
	}
	for i, objective := range s.Facts.Objectives {
		if !isNonNegative(objective.WithinS) {
			return newFieldError(fmt.Sprintf("facts.objectives[%d].within_s", i), reasonNegative)
		}
	}
	return nil
}

// checkTeams checks the teams' names, guarantees and limits.
func (s *Settings) checkTeams() error {
	seen := map[string]bool{}
	for i, t := range s.Facts.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if t.Name == "" || seen[t.Name] {
			return newFieldError(field+".name", reasonNotUnique)
		}
		seen[t.Name] = true
		for _, v := range []float64{t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs} {
			if !isNonNegative(v) {
				return newFieldError(field, "amounts must be numbers of at least 0")
			}
		}
	}
	return nil
}
