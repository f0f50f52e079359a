// Package autoscaler decides how many machines are to be rented for what lacks room and for
// headroom, and which machines are to be returned. It does no I/O; internal/scaling calls the
// cloud. The lock of internal/state guards it.
package autoscaler
