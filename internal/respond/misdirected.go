package respond

import "violetturn/internal/transport"

// statusMisdirected tells a worker that another controller leads its shard.
const statusMisdirected = 421

// redirection is the body of a misdirected request's answer.
type redirection struct {
	Leader string `json:"steward,omitempty"`
}

// Misdirected answers a worker that this node may not answer for its shard, and which
// controller leads it; "" if that is not known.
func Misdirected(leader string) transport.Response {
	return JSON(statusMisdirected, redirection{Leader: leader})
}
