// Package autoscaler decides how many machines to rent, for tasks that lack capacity and for
// headroom, and which machines to return. It does no I/O; internal/scaling calls the cloud. A
// machine is returned only if it is cordoned, holds no placement and is not offered to peers, or if
// it is missing from the cloud's lists and its worker sends no heartbeats, so that it counts as
// terminated. The lock of internal/state guards it.
package autoscaler
