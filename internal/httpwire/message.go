package httpwire

import (
	"errors"
	"fmt"
)

// Limits bound what the other side can make a parser hold.
type Limits struct {
	LineBytes   int // bytes of one start or header line
	HeaderCount int // number of header lines
	BodyBytes   int // bytes of a body
}

// RequestLimits are those of PROTOCOL for what others send to a controller.
var RequestLimits = Limits{LineBytes: 8 << 10, HeaderCount: 64, BodyBytes: 64 << 10}

// ResponseLimits hold for answers of the outside systems. A watch of the state service has no
// size limit of its own, so the one for bodies is wide.
var ResponseLimits = Limits{LineBytes: 8 << 10, HeaderCount: 128, BodyBytes: 16 << 20}

// Errors of the parser; they tell a server which status to refuse with.
var (
	// ErrMalformed says that a message is no HTTP/1.0 or 1.1 message, or an ambiguous one.
	ErrMalformed = errors.New("malformed HTTP message")
	// ErrTooLarge says that the body is larger than the limit.
	ErrTooLarge = errors.New("HTTP body too large")
)

// Message is one request or response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Close          bool   // the sender closes the connection, or its version implies that
	RetryAfter     string // the header of that name, as sent
	Body           []byte
}

// reasons are the reason phrases of the statuses that controllers answer with.
var reasons = map[int]string{
	200: "OK",
	201: "Created",
	400: "Bad Request",
	404: "Not Found",
	405: "Method Not Allowed",
	409: "Conflict",
	413: "Content Too Large",
	421: "Misdirected Request",
	422: "Unprocessable Content",
	429: "Too Many Requests",
	500: "Internal Server Error",
	503: "Service Unavailable",
	504: "Gateway Timeout",
}

// AppendResponse appends an encoded response with a JSON body to dst. retryAfter is in whole
// seconds, 0 for none; closing announces that the connection is closed after it.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\n", status, reasons[status])
	dst = appendContentHeaders(dst, body)
	if retryAfter > 0 {
		dst = fmt.Appendf(dst, "Retry-After: %d\r\n", retryAfter)
	}
	if closing {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// AppendRequest appends an encoded request to dst, with a JSON body unless it is nil.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if body != nil {
		dst = appendContentHeaders(dst, body)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// appendContentHeaders appends the headers that describe a body.
func appendContentHeaders(dst, body []byte) []byte {
	return fmt.Appendf(dst, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
}
