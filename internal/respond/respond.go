package respond

import (
	"violetturn/internal/api"
	"violetturn/internal/transport"
)

// Busy answers what can't be taken now.
var Busy = transport.Response{Status: 503, Body: []byte(`{"error":"try again"}`), RetryAfter: 1}

// JSON returns an answer whose body is v as JSON.
func JSON(status int, v any) transport.Response {
	return transport.Response{Status: status, Body: api.MustMarshal(v)}
}
