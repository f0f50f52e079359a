// Package agent keeps what this controller knows of the workers of the shards that it leads:
// their heartbeats, whether they have seen its fencing token, when their leases have surely
// expired, and which attempts of tasks have ended there.
//
// A worker's tasks count as over only if its heartbeat, made under this leader's term, shows
// it, or if its lease has surely expired. The package does no I/O; it prepares commands that
// internal/commands sends. The lock of internal/state guards it.
package agent
