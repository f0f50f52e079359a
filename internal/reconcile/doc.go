// Package reconcile compares what a worker reports in a heartbeat with what is committed for its
// machine and answers with the commands that make up the difference. It remembers nothing
// between heartbeats, so a lost answer costs one interval. The lock of internal/state guards it.
//
// Invariants:
//   - a heartbeat is answered only under a leadership in force, and with its token;
//   - an attempt is launched only in the answer to a heartbeat made under this term, and never
//     again once its end was noted;
//   - a task ends by the heartbeat itself, never by the answer to a direct command;
//   - launches in one answer fit the room that the heartbeat shows, where that is known.
package reconcile
