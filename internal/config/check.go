package config

import (
	"fmt"
	"math"
	"net"
)

// FieldError says what is wrong with one setting.
type FieldError struct {
	Field  string // its path, as in "facts.state.rps"
	Reason string
}

// Error implements error; it is one line.
func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

// refuse returns the error of a setting.
func refuse(field, reason string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(reason, args...)}
}

// Reasons that several settings share.
const (
	reasonMissing     = "missing"
	reasonNotUnique   = "missing or not unique"
	reasonNotPositive = "must be a number above 0"
	reasonNegative    = "must be a number of at least 0"
)

// amount is a number of the settings with its path.
type amount struct {
	field string
	value float64
}

// check returns the first thing that is wrong with the settings. It fills in what the coming
// limits leave out.
func (s *Settings) check() error {
	steps := []func() error{s.checkNames, s.checkAmounts, s.checkLimits, s.checkNextLimits, s.checkWorkers, s.checkTeams}
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks what names and addresses controllers and outside systems.
func (s *Settings) checkNames() error {
	if s.HostName == "" {
		return refuse("host_name", reasonMissing)
	}
	if s.Zone == "" {
		return refuse("site", reasonMissing)
	}
	if err := s.checkMembers(); err != nil {
		return err
	}
	if err := s.checkAddresses(); err != nil {
		return err
	}
	if n := s.Facts.ControllerCount; n != len(s.Members)+1 {
		return refuse("facts.size", "%d, but members name %d controllers with this one", n, len(s.Members)+1)
	}
	if len(s.Facts.Zones) == 0 {
		return refuse("facts.zones", reasonMissing)
	}
	return nil
}

// checkMembers checks that every controller has a name of its own.
func (s *Settings) checkMembers() error {
	seen := map[string]bool{s.HostName: true}
	for i, m := range s.Members {
		if m.HostName == "" || seen[m.HostName] {
			return refuse(fmt.Sprintf("members[%d].host_name", i), reasonNotUnique)
		}
		seen[m.HostName] = true
	}
	return nil
}

// checkAddresses checks that all addresses are of the form host:port.
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
			return refuse(a.field, "%q is not host:port", a.value)
		}
	}
	return nil
}

// checkAmounts checks the numbers that have to be above zero.
func (s *Settings) checkAmounts() error {
	f := &s.Facts
	for _, a := range []amount{
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
		if !positive(a.value) {
			return refuse(a.field, reasonNotPositive)
		}
	}
	return nil
}

// positive reports whether a number is above zero and finite.
func positive(v float64) bool { return v > 0 && !math.IsInf(v, 0) }

// nonNegative reports whether a number is at least zero and finite.
func nonNegative(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// checkLimits checks the limits of the state service and of this machine.
func (s *Settings) checkLimits() error {
	if err := s.Facts.State.check("facts.state"); err != nil {
		return err
	}
	l := &s.Facts.Limits
	if !nonNegative(l.Cores) {
		return refuse("facts.machine_limits.cores", reasonNegative)
	}
	if l.MemoryMB < minMemoryMB {
		return refuse("facts.machine_limits.memory_mb", "%g, the service needs at least %d", l.MemoryMB, minMemoryMB)
	}
	if need := max(minSockets, socketsPerMember*len(s.Members)); l.MaxSockets < need {
		return refuse("facts.machine_limits.max_sockets",
			"%d, the service needs at least %d with so many controllers", l.MaxSockets, need)
	}
	return nil
}

// check checks that the service can work under the limits, of which field is the path.
func (l *StateLimits) check(field string) error {
	if l.TxnOps < minTxnOps {
		return refuse(field+".txn_ops", "%d, the service needs at least %d changes in one transaction", l.TxnOps, minTxnOps)
	}
	if l.ValueKB < minValueKB {
		return refuse(field+".value_kb", "%g, the service needs values of at least %d KiB", l.ValueKB, minValueKB)
	}
	return nil
}

// checkNextLimits checks the coming limits of the state service. A limit that is not named stays
// as it is; one that is named has to be one that the service can work under.
func (s *Settings) checkNextLimits() error {
	const field = "facts.state.next"
	now, next := &s.Facts.State.StateLimits, s.Facts.State.NextLimits
	if next == nil {
		return nil
	}
	for _, limit := range []struct {
		name  string
		value *float64
		now   float64
	}{
		{"rps", &next.RPS, now.RPS},
		{"write_rps", &next.WriteRPS, now.WriteRPS},
		{"value_kb", &next.ValueKB, now.ValueKB},
	} {
		if !s.names("facts", "state", "next", limit.name) {
			*limit.value = limit.now
		} else if !positive(*limit.value) {
			return refuse(field+"."+limit.name, reasonNotPositive)
		}
	}
	if !s.names("facts", "state", "next", "txn_ops") {
		next.TxnOps = now.TxnOps
	}
	return next.check(field)
}

// checkWorkers checks the workers' times.
func (s *Settings) checkWorkers() error {
	w := &s.Facts.Workers
	for _, a := range []amount{
		{"facts.workers.gang_wait_s", w.GangGatherTimeoutS},
		{"facts.workers.gang_peer_s", w.GangPeerTimeoutS},
	} {
		if !nonNegative(a.value) {
			return refuse(a.field, reasonNegative)
		}
	}
	if w.HeartbeatIntervalS >= w.LeaseS {
		return refuse("facts.workers.lease_s", "must be longer than report_s")
	}
	return nil
}

// checkTeams checks the teams' names and amounts.
func (s *Settings) checkTeams() error {
	seen := map[string]bool{}
	for i, t := range s.Facts.Teams {
		field := fmt.Sprintf("facts.teams[%d]", i)
		if t.Name == "" || seen[t.Name] {
			return refuse(field+".name", reasonNotUnique)
		}
		seen[t.Name] = true
		for _, v := range []float64{t.GuaranteedCPUs, t.MaxCPUs, t.GuaranteedGPUs, t.MaxGPUs} {
			if !nonNegative(v) {
				return refuse(field, "amounts must be numbers of at least 0")
			}
		}
	}
	return nil
}
