// Package reconcile compares the tasks that a worker reports in a heartbeat with the tasks that are
// committed for its machine, and answers with the commands that resolve the differences. It keeps
// no commands between heartbeats, so a lost response delays them by one interval. The lock of
// internal/state guards it.
//
// Invariants:
//   - a heartbeat is answered only under a leadership in force, and with its fencing token;
//   - an attempt is launched only in the response to a heartbeat made under the leader's term, and
//     never again once its end is recorded;
//   - a task ends by the heartbeat itself, never by the response to a direct command;
//   - launches in one response fit the free capacity that the heartbeat shows, where that is known.
package reconcile
