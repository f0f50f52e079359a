package respond

import (
	"violetturn/internal/api"
	"violetturn/internal/transport"
)

// Busy is the response to a request that cannot be served now but may be later.
var Busy = transport.Response{Status: 503, Body: []byte(`{"error":"try again"}`), RetryAfter: 1}

// JSON returns a response with v, encoded as JSON, as its body.
func JSON(status int, v any) transport.Response {
	return transport.Response{Status: status, Body: api.MustMarshal(v)}
}
