// Package reconcile compares what a worker reports in a heartbeat with what is committed for its
// machine and answers with the commands that make up the difference. It remembers nothing
// between heartbeats, so a lost answer costs one interval. The lock of internal/state guards it.
package reconcile
