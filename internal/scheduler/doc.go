// Package scheduler decides which task runs on which machine. The design follows the paper (see
// docs/design.md, which also states where it differs and why). As in the paper, every controller
// reads the state of all shards. A plan orders the jobs and places tasks on the machine with the
// tightest fit, first in the job's own shard and then on machines of peers' shards, whose capacity
// is claimed by compare-and-swap of their capacity records. It also places gangs (the paper's
// Algorithm 2), selects tasks to preempt, and lists the demand that is still unmet after all that.
//
// A plan depends only on the state at one moment and the source of randomness, and commits
// nothing. A plan may be older than the state, so the transactions that this package prepares
// check each placement again; internal/decisions commits them.
//
// Invariants:
//   - a transaction requires that this controller leads the shard of each job that it places, and
//     requires the version of each capacity record in which it claims capacity;
//   - a gang's tasks are launched only by the write that places the last of them;
//   - no task is preempted for a job that would still lack capacity afterwards.
//
// The lock of internal/state guards the package's state.
package scheduler
