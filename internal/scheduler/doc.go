// Package scheduler decides which task runs on which machine, after the paper's design of
// shards that every controller sees: the order of the jobs, the fullest fit within the own
// shard first and then on machines of peers' shards, whose room is claimed by compare-and-swap
// of their capacity records, gangs (the paper's Algorithm 2), preemption, and what lacks room
// after all that. docs/design.md names what differs from the paper and why.
//
// A plan is a function of the state at one moment and of the source of randomness; nothing is
// committed here. The transactions that this package prepares look at each placement again,
// because a plan may be older than the state, and internal/decisions commits them.
//
// Invariants:
//   - a transaction requires this controller's leadership of the shard of each job that it
//     places, and the version of each capacity record that it claims room of;
//   - a gang's tasks are launched only by the write that gives the last of them its machine;
//   - nothing is stopped for a job that would still lack room afterwards.
//
// The lock of internal/state guards all of it.
package scheduler
