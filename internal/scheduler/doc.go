// Package scheduler decides what is placed where: the order of the jobs, bin packing on own and
// peers' machines, gangs, preemption, and what then lacks room. A plan is a function of the
// state at one moment; nothing is committed here. internal/decisions commits, and looks at
// each placement again when it does. The lock of internal/state guards it.
package scheduler
