package respond

import (
	"encoding/json"

	"violetturn/internal/transport"
)

// StatusInternalError is the HTTP status of a response that could not be encoded.
const StatusInternalError = 500

// Busy is the response to a request that cannot be served now but may be later.
var Busy = transport.Response{Status: 503, Body: []byte(`{"error":"try again"}`), RetryAfter: 1}

// JSON returns a response with v, encoded as JSON, as its body. If v can't be encoded, because it
// contains a number that JSON has no form for, the response has StatusInternalError instead. Such a
// number must not end the process, since the repeated request would end the next controller too.
func JSON(status int, v any) transport.Response {
	body, err := json.Marshal(v)
	if err != nil {
		return transport.Response{Status: StatusInternalError, Body: []byte(`{"error":"response can't be encoded"}`)}
	}
	return transport.Response{Status: status, Body: body}
}
