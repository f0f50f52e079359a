package respond

import "violetturn/internal/transport"

// statusMisdirected is HTTP status 421, Misdirected Request.
const statusMisdirected = 421

// redirection is the body of the response to a misdirected request.
type redirection struct {
	Leader string `json:"steward,omitempty"`
}

// Misdirected returns the response to a worker whose heartbeats this controller may not answer.
// leader is the controller that leads the worker's shard, "" if it is unknown.
func Misdirected(leader string) transport.Response {
	return JSON(statusMisdirected, redirection{Leader: leader})
}
