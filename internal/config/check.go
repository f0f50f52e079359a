package config

import (
	"fmt"
	"math"
	"net"
)

// check tells the first thing that is wrong with the settings.
func (s *Settings) check() error {
	for _, step := range []func() error{s.checkNames, s.checkAmounts, s.checkLimits, s.checkNextLimits, s.checkWorkers, s.checkTeams} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checkNames checks what names and addresses controllers.
func (s *Settings) checkNames() error {
	for _, f := range []struct{ name, v string }{{"host_name", s.HostName}, {"site", s.Zone}} {
		if f.v == "" {
			return fmt.Errorf("%s: missing", f.name)
		}
	}
	addrs := []struct{ name, v string }{{"serve_on", s.ServeOn}, {"cluster_listen", s.ClusterListen},
		{"external.cloud", s.External.Cloud}, {"external.state", s.External.State}}
	seen := map[string]bool{s.HostName: true}
	for i, m := range s.Members {
		if m.HostName == "" || seen[m.HostName] {
			return fmt.Errorf("members[%d].host_name: missing or not unique", i)
		}
		seen[m.HostName] = true
		addrs = append(addrs, struct{ name, v string }{fmt.Sprintf("members[%d].addr", i), m.Addr})
	}
	for _, a := range addrs {
		if _, _, err := net.SplitHostPort(a.v); err != nil {
			return fmt.Errorf("%s: %q is not host:port", a.name, a.v)
		}
	}
	if n := s.Facts.Size; n != len(s.Members)+1 {
		return fmt.Errorf("facts.size: %d, but members name %d controllers with this one", n, len(s.Members)+1)
	}
	if len(s.Facts.Zones) == 0 {
		return fmt.Errorf("facts.zones: missing")
	}
	return nil
}

// checkAmounts checks the numbers that have to be above zero.
func (s *Settings) checkAmounts() error {
	f := &s.Facts
	for _, p := range []struct {
		name string
		v    float64
	}{
		{"facts.workers.report_s", f.Workers.ReportS},
		{"facts.workers.lease_s", f.Workers.LeaseS},
		{"facts.workers.cancel_s", f.Workers.CancelS},
		{"facts.state.rps", f.State.RPS},
		{"facts.state.write_rps", f.State.WriteRPS},
		{"facts.state.value_kb", f.State.ValueKB},
		{"facts.state.txn_ops", float64(f.State.TxnOps)},
		{"facts.cloud.rps", f.Cloud.RPS},
		{"facts.machine_limits.memory_mb", f.Limits.MemoryMB},
		{"facts.machine_limits.max_sockets", float64(f.Limits.MaxSockets)},
	} {
		if !positive(p.v) {
			return fmt.Errorf("%s: must be a number above 0", p.name)
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
		return fmt.Errorf("facts.machine_limits.cores: must be a number of at least 0")
	}
	if l.MemoryMB < minMemoryMB {
		return fmt.Errorf("facts.machine_limits.memory_mb: %g, the service needs at least %d", l.MemoryMB, minMemoryMB)
	}
	// A sixteenth of the sockets takes the other controllers' connections.
	if need := max(minSockets, 16*len(s.Members)); l.MaxSockets < need {
		return fmt.Errorf(
			"facts.machine_limits.max_sockets: %d, the service needs at least %d with so many controllers",
			l.MaxSockets, need,
		)
	}
	return nil
}

// checkNextLimits checks the coming limits of the state service. A limit that is not named
// stays as it is; one that is named has to be one that the service can work under.
func (s *Settings) checkNextLimits() error {
	now, next := &s.Facts.State.StateLimits, s.Facts.State.Next
	if next == nil {
		return nil
	}
	for _, p := range []struct {
		name string
		v    *float64
		now  float64
	}{{"rps", &next.RPS, now.RPS}, {"write_rps", &next.WriteRPS, now.WriteRPS}, {"value_kb", &next.ValueKB, now.ValueKB}} {
		if !hasSetting(s.document, "facts", "state", "next", p.name) {
			*p.v = p.now
		} else if !positive(*p.v) {
			return fmt.Errorf("facts.state.next.%s: must be a number above 0", p.name)
		}
	}
	if !hasSetting(s.document, "facts", "state", "next", "txn_ops") {
		next.TxnOps = now.TxnOps
	}
	return next.check("facts.state.next")
}

// checkWorkers checks the workers' times.
func (s *Settings) checkWorkers() error {
	w := &s.Facts.Workers
	for _, p := range []struct {
		name string
		v    float64
	}{{"facts.workers.gang_wait_s", w.GangWaitS}, {"facts.workers.gang_peer_s", w.GangPeerS}} {
		if !nonNegative(p.v) {
			return fmt.Errorf("%s: must be a number of at least 0", p.name)
		}
	}
	if w.ReportS >= w.LeaseS {
		return fmt.Errorf("facts.workers.lease_s: must be longer than report_s")
	}
	return nil
}

// checkTeams checks the teams' names and amounts.
func (s *Settings) checkTeams() error {
	teams := map[string]bool{}
	for i, t := range s.Facts.Teams {
		if t.Name == "" || teams[t.Name] {
			return fmt.Errorf("facts.teams[%d].name: missing or not unique", i)
		}
		teams[t.Name] = true
		for _, v := range []float64{t.CPUs, t.CPUsMax, t.GPUs, t.GPUsMax} {
			if !nonNegative(v) {
				return fmt.Errorf("facts.teams[%d]: amounts must be numbers of at least 0", i)
			}
		}
	}
	return nil
}

func (l *StateLimits) check(name string) error {
	if l.TxnOps < minTxnOps {
		return fmt.Errorf("%s.txn_ops: %d, the service needs at least %d changes in one transaction", name, l.TxnOps, minTxnOps)
	}
	if l.ValueKB < minValueKB {
		return fmt.Errorf("%s.value_kb: %g, the service needs values of at least %d KiB", name, l.ValueKB, minValueKB)
	}
	return nil
}
