package httpwire

import (
	"errors"
	"fmt"
)

// Limits bound the memory that the other side can make a parser use.
type Limits struct {
	LineBytes   int // bytes of a start line or header line
	HeaderCount int // number of header lines
	BodyBytes   int // bytes of a body
}

// RequestLimits are the limits of PROTOCOL for requests to a controller.
var RequestLimits = Limits{LineBytes: 8 << 10, HeaderCount: 64, BodyBytes: 64 << 10}

// ResponseLimits are the limits for responses of external systems. The limit for bodies is large
// because PROTOCOL does not limit the size of a watch response of the state service.
var ResponseLimits = Limits{LineBytes: 8 << 10, HeaderCount: 128, BodyBytes: 16 << 20}

// Errors of the parser. A server selects the status of its error response by them.
var (
	// ErrMalformed means that a message is not valid HTTP/1.0 or 1.1, or is ambiguous.
	ErrMalformed = errors.New("malformed HTTP message")
	// ErrTooLarge means that the body exceeds the limit.
	ErrTooLarge = errors.New("HTTP body too large")
)

// Message is one request or response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Close          bool   // the sender closes the connection after the message, by its headers or its HTTP version
	RetryAfter     string // value of the Retry-After header, unparsed
	Body           []byte
}

// reasonPhrases holds the reason phrases of the statuses that controllers respond with.
var reasonPhrases = map[int]string{
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
// seconds, 0 for no Retry-After header; closeAfter adds the header "Connection: close".
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closeAfter bool) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\n", status, reasonPhrases[status])
	dst = appendContentHeaders(dst, body)
	if retryAfter > 0 {
		dst = fmt.Appendf(dst, "Retry-After: %d\r\n", retryAfter)
	}
	if closeAfter {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// AppendRequest appends an encoded request to dst, with a JSON body unless body is nil.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if body != nil {
		dst = appendContentHeaders(dst, body)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// appendContentHeaders appends the Content-Type and Content-Length headers of a JSON body.
func appendContentHeaders(dst, body []byte) []byte {
	return fmt.Appendf(dst, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
}
