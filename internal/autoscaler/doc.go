// Package autoscaler decides how many machines are to be rented for what lacks room and for
// headroom, and which machines are to be returned. It does no I/O; internal/scaling calls the
// cloud. A machine is returned only once it is cordoned, holds no placement and is offered to
// no peer, or once both the cloud's lists and its worker's silence say that it is terminated. The
// lock of internal/state guards it.
package autoscaler
