package main

// settingsCases are replacements in the valid settings file.
var settingsCases = []fileCase{
	{"valid", "host_name", "host_name"},
	{"empty", "", "\n"},
	{"not TOML", "size = 2", "size = "},
	{"wrong type", "size = 2", `size = "two"`},
	{"no host name", `host_name = "n0"`, ""},
	{"no zone", `site = "x"`, ""},
	{"serve_on without a port", "127.0.0.1:1", "nowhere"},
	{"no cluster_listen", `cluster_listen = "127.0.0.1:2"`, ""},
	{"no state service", `state = "127.0.0.3:2"`, ""},
	{"no cloud", `cloud = "127.0.0.3:1"`, ""},
	{"member without a name", `host_name = "n1"`, ""},
	{"member twice", `host_name = "n1"`, `host_name = "n0"`},
	{"member without an address", `addr = "127.0.0.2:2"`, ""},
	{"size that is not the members'", "size = 2", "size = 3"},
	{"no zones", `zones = ["x", "y"]`, ""},
	{"no report_s", "report_s = 1.5", ""},
	{"report_s infinite", "report_s = 1.5", "report_s = inf"},
	{"lease_s shorter than report_s", "lease_s = 10.0", "lease_s = 1.0"},
	{"lease_s no number", "lease_s = 10.0", "lease_s = nan"},
	{"cancel_s zero", "cancel_s = 40.0", "cancel_s = 0.0"},
	{"gang_wait_s below zero", "gang_wait_s = 50.0", "gang_wait_s = -1.0"},
	{"gang_peer_s no number", "gang_peer_s = 5.0", "gang_peer_s = nan"},
	{"no gang times", "gang_wait_s = 50.0\ngang_peer_s = 5.0", ""},
	{"rps below zero", "rps = 120.0", "rps = -1.0"},
	{"no write_rps", "write_rps = 25.0", ""},
	{"value_kb no number", "value_kb = 4.0", "value_kb = nan"},
	{"value_kb too small", "value_kb = 4.0", "value_kb = 0.5"},
	{"txn_ops too small", "txn_ops = 8", "txn_ops = 2"},
	{"no txn_ops", "txn_ops = 8", ""},
	{"no cloud rps", "rps = 8.0", ""},
	{"next with txn_ops too small", "write_rps = 18.0", "txn_ops = 3"},
	{"next with txn_ops zero", "write_rps = 18.0", "txn_ops = 0"},
	{"next with value_kb below zero", "write_rps = 18.0", "value_kb = -1.0"},
	{"next with write_rps zero", "write_rps = 18.0", "write_rps = 0.0"},
	{"next with rps infinite", "write_rps = 18.0", "rps = inf"},
	{"next with a wrong type", "write_rps = 18.0", `txn_ops = "x"`},
	{"next that names nothing", "write_rps = 18.0", ""},
	{"cores below zero", "cores = 0.1", "cores = -1.0"},
	{"no cores", "cores = 0.1", ""},
	{"no memory_mb", "memory_mb = 98.0", ""},
	{"memory_mb too small", "memory_mb = 98.0", "memory_mb = 0.5"},
	{"no max_sockets", "max_sockets = 900", ""},
	{"max_sockets too small", "max_sockets = 900", "max_sockets = 9"},
	{"team without a name", `name = "b"`, ""},
	{"team twice", `name = "b"`, `name = "a"`},
	{"team with an infinite amount", "gpus = 2.0", "gpus = inf"},
	{"team below zero", "cpus_max = 20.0", "cpus_max = -1.0"},
	{"objective of an unknown kind", `kind = "wait"`, `kind = "sometime"`},
}

// policyCases are complete policy files.
var policyCases = []fileCase{
	{"empty", "", "\n"},
	{"all", "", `weight = "10 - job.priority + job.age / (1 + job.slack)"
preempt = "job.priority < victim.priority && lost < 600"
headroom = "2 * deviation"
idle_s = "spot ? 5 : startup * price"
`},
	{"every variable of a job", "", `weight = "job.class == 'a' && job.team == 'b' && job.kind == 'sweep' && job.guaranteed ` +
		`? job.tasks * (job.gpus + job.cpus) : 0"
`},
	{"earlier names", "", `weight = "job.lane == 'x' && job.owner == 'b' && job.shape == 'sweep' ? job.pieces : -job.rank"
idle_s = "loaners ? 5 : startup * 2"
`},
	{"earlier name twice", "", `weight = "job.rank + job.rank"
preempt = "job.rank < victim.rank"
`},
	{"unknown setting", "", `colour = "1"
`},
	{"unknown variable of a job", "", `weight = "job.colour"
`},
	{"unknown variable", "", `idle_s = "loaner ? 1 : 2"
`},
	{"number for a condition", "", `preempt = "lost"
`},
	{"condition for a number", "", `weight = "job.age > 1"
`},
	{"text for a number", "", `idle_s = "'long'"
`},
	{"half an expression", "", `headroom = "deviation +"
`},
	{"not a number", "", `weight = "job.age / job.gpus"
`},
	{"failing", "", `weight = "[1][job.tasks + 5]"
`},
	{"number instead of an expression", "", `weight = 3
`},
	{"not TOML", "", `weight = "1
`},
}

// featuresCases are complete features files.
var featuresCases = []fileCase{
	{"empty", "", "\n"},
	{"zone recovery", "", "[zone_recovery]\nenabled = true\n"},
	{"zone recovery with every setting", "", `[zone_recovery]
enabled = true
suspect_share = 0.2
down_share = 0.6
confirm = 0.5
first_share = 0.25
least_share = 0.125
double_every = 0.5
progress_after = 1.0
progress_share = 0.25
longest = 8.0
`},
	{"unknown feature", "", "[zone_recovrey]\nenabled = true\n"},
	{"unknown setting", "", "[zone_recovery]\nenable = true\n"},
	{"wrong type", "", "[zone_recovery]\nenabled = 1\n"},
	{"share above one", "", "[zone_recovery]\ndown_share = 1.5\n"},
	{"share no number", "", "[zone_recovery]\ndown_share = nan\n"},
	{"time zero", "", "[zone_recovery]\nconfirm = 0\n"},
	{"time infinite", "", "[zone_recovery]\nlongest = inf\n"},
	{"suspected after down", "", "[zone_recovery]\nsuspect_share = 0.6\n"},
	{"least above first", "", "[zone_recovery]\nleast_share = 0.5\n"},
	{"progress after the longest", "", "[zone_recovery]\nprogress_after = 5\n"},
	{"not TOML", "", "[zone_recovery\n"},
}
