package respond

import "violetturn/internal/transport"

// statusMisdirected (421, Misdirected Request) means that another controller leads the shard of the worker.
const statusMisdirected = 421

// redirection is the body of the response to a misdirected request.
type redirection struct {
	Leader string `json:"steward,omitempty"`
}

// Misdirected returns the response to a worker for whose shard this node may not respond. leader is
// the controller that leads the shard, "" if it is unknown.
func Misdirected(leader string) transport.Response {
	return JSON(statusMisdirected, redirection{Leader: leader})
}
