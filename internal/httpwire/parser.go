// Package httpwire is the project's own HTTP/1.1 parser and encoder. It works
// on bytes as they come, in any split, in both directions, and holds no more
// than its limits allow.
package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits bound what a peer can make the parser hold.
type Limits struct {
	Line    int // one start or header line
	Headers int // number of header lines
	Body    int // body bytes
}

// RequestLimits are those of PROTOCOL for what others send to a controller.
var RequestLimits = Limits{Line: 8 << 10, Headers: 64, Body: 64 << 10}

// ResponseLimits hold for answers of the outside systems; a watch of the state
// service has no size limit of its own, so this one is wide.
var ResponseLimits = Limits{Line: 8 << 10, Headers: 128, Body: 16 << 20}

// Errors that tell the server which status to close with.
var (
	ErrMalformed = errors.New("malformed HTTP message")
	ErrTooLarge  = errors.New("HTTP body too large")
)

// Message is one request or response.
type Message struct {
	Method, Target string // requests
	Status         int    // responses
	Close          bool   // the sender closes, or the version implies it
	RetryAfter     string
	Body           []byte
}

type stage int

const (
	atStart stage = iota
	inHeaders
	inBody
	atChunkSize
	inChunk
	afterChunk
	inTrailers
	untilClose
)

// Parser turns a byte stream into messages. The zero value is not usable; see
// NewParser. After an error it stays failed.
type Parser struct {
	lim      Limits
	response bool
	buf      []byte
	scanned  int // bytes of buf known to hold no line end
	stage    stage
	msg      *Message
	headers  int
	length   int // body length, or bytes left of the task range; -1 unknown
	chunked  bool
	http10   bool
	keep     bool
	err      error
}

// NewParser makes a parser for requests, or for responses.
func NewParser(response bool, lim Limits) *Parser {
	return &Parser{lim: lim, response: response}
}

// Feed adds bytes of the stream; it copies them.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Idle reports whether the parser stands between two messages.
func (p *Parser) Idle() bool { return p.stage == atStart && len(p.buf) == 0 }

// line takes the next line without its end. A bare LF is refused: accepting it
// where another hop does not is how requests are smuggled.
func (p *Parser) line() (string, bool) {
	i := bytes.IndexByte(p.buf[p.scanned:], '\n')
	if i < 0 {
		p.scanned = len(p.buf)
		if p.scanned > p.lim.Line {
			p.err = fmt.Errorf("%w: line too long", ErrMalformed)
		}
		return "", false
	}
	i += p.scanned
	if i > p.lim.Line || i == 0 || p.buf[i-1] != '\r' {
		p.err = fmt.Errorf("%w: bad line end", ErrMalformed)
		return "", false
	}
	s := string(p.buf[:i-1])
	p.take(i + 1)
	return s, true
}

func (p *Parser) take(n int) {
	p.buf = p.buf[n:]
	p.scanned = 0
	if len(p.buf) == 0 {
		p.buf = nil
	}
}

// Next returns the next whole message, or nil when more bytes are needed.
func (p *Parser) Next() (*Message, error) {
	for p.err == nil {
		if whole, more := p.step(); whole {
			return p.done(), nil
		} else if more {
			break
		}
	}
	return nil, p.err
}

// step parses on by one element. It reports whether that completed a message, and whether
// more bytes are needed, or the message is in error.
func (p *Parser) step() (whole, more bool) {
	switch p.stage {
	case atStart:
		return false, p.readStart()
	case inHeaders:
		return p.readHeader()
	case inBody:
		if len(p.buf) < p.length {
			return false, true
		}
		p.msg.Body = append([]byte(nil), p.buf[:p.length]...)
		p.take(p.length)
		return true, false
	case atChunkSize:
		return false, p.readChunkSize()
	case inChunk:
		return false, p.readChunk()
	case inTrailers:
		return p.readTrailer()
	default: // until the stream ends
		if len(p.buf) > p.lim.Body {
			p.err = ErrTooLarge
		}
		return false, true
	}
}

// readStart reads a start line; true if it is not whole, or in error.
func (p *Parser) readStart() (more bool) {
	s, ok := p.line()
	if !ok {
		return true
	}
	p.msg = &Message{}
	p.headers, p.length, p.chunked, p.keep, p.http10 = 0, -1, false, false, false
	p.err = p.startLine(s)
	p.stage = inHeaders
	return p.err != nil
}

// readHeader reads a header, or the end of the headers.
func (p *Parser) readHeader() (whole, more bool) {
	s, ok := p.line()
	if !ok {
		return false, true
	}
	if s == "" {
		p.err = p.endHeaders()
		return p.err == nil && p.stage == atStart, p.err != nil
	}
	if p.headers++; p.headers > p.lim.Headers {
		p.err = fmt.Errorf("%w: too many headers", ErrMalformed)
	} else {
		p.err = p.header(s)
	}
	return false, p.err != nil
}

// readChunkSize reads the line before a task range; true if it is not whole, or in error.
func (p *Parser) readChunkSize() (more bool) {
	s, ok := p.line()
	if !ok {
		return true
	}
	s, _, _ = strings.Cut(s, ";")
	s = strings.TrimRight(s, " \t")
	n, err := strconv.ParseUint(s, 16, 31)
	if err != nil || s == "" || s[0] == '+' {
		p.err = fmt.Errorf("%w: chunk size", ErrMalformed)
		return true
	}
	if len(p.msg.Body)+int(n) > p.lim.Body {
		p.err = ErrTooLarge
		return true
	}
	p.length, p.stage = int(n), inChunk
	if n == 0 {
		p.stage = inTrailers
	}
	return false
}

// readChunk reads a task range with its line end; true if it is not whole, or in error.
func (p *Parser) readChunk() (more bool) {
	if len(p.buf) < p.length+2 {
		return true
	}
	if p.buf[p.length] != '\r' || p.buf[p.length+1] != '\n' {
		p.err = fmt.Errorf("%w: chunk end", ErrMalformed)
		return true
	}
	p.msg.Body = append(p.msg.Body, p.buf[:p.length]...)
	p.take(p.length + 2)
	p.stage = atChunkSize
	return false
}

// readTrailer reads a header after the last task range, or the end of the message.
func (p *Parser) readTrailer() (whole, more bool) {
	s, ok := p.line()
	if !ok {
		return false, true
	}
	if s == "" {
		return true, false
	}
	if p.headers++; p.headers > p.lim.Headers {
		p.err = fmt.Errorf("%w: too many trailers", ErrMalformed)
	}
	return false, p.err != nil
}

// End tells the parser that the stream has ended; it completes a response
// whose body runs until the close.
func (p *Parser) End() *Message {
	if p.err != nil || p.stage != untilClose {
		return nil
	}
	p.msg.Body = p.buf
	p.buf = nil
	return p.done()
}

func (p *Parser) done() *Message {
	m := p.msg
	p.msg, p.stage = nil, atStart
	return m
}

func (p *Parser) startLine(s string) error {
	bad := fmt.Errorf("%w: start line", ErrMalformed)
	f := strings.SplitN(s, " ", 3)
	if p.response {
		if len(f) < 2 {
			return bad
		}
		n, err := strconv.Atoi(f[1])
		if err != nil || n < 100 || n > 599 || len(f[1]) != 3 {
			return bad
		}
		p.msg.Status = n
		return p.version(f[0])
	}
	if len(f) != 3 || !token(f[0]) || f[1] == "" || f[1][0] != '/' {
		return bad
	}
	for i := range len(f[1]) {
		if f[1][i] <= ' ' || f[1][i] >= 0x7f {
			return bad
		}
	}
	p.msg.Method, p.msg.Target = f[0], f[1]
	return p.version(f[2])
}

func (p *Parser) version(s string) error {
	switch s {
	case "HTTP/1.1":
	case "HTTP/1.0":
		p.http10 = true
	default:
		return fmt.Errorf("%w: version", ErrMalformed)
	}
	return nil
}

func token(s string) bool {
	for i := range len(s) {
		c := s[i]
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0 {
			continue
		}
		return false
	}
	return s != ""
}

func (p *Parser) header(s string) error {
	i := strings.IndexByte(s, ':')
	if i <= 0 || !token(s[:i]) { // a leading blank (folding) fails here too
		return fmt.Errorf("%w: header", ErrMalformed)
	}
	v := strings.Trim(s[i+1:], " \t")
	if strings.ContainsAny(v, "\r\x00") {
		return fmt.Errorf("%w: header value", ErrMalformed)
	}
	switch strings.ToLower(s[:i]) {
	case "content-length":
		n, err := strconv.ParseUint(v, 10, 62)
		// A second length, equal or not, is refused: no smuggling.
		if err != nil || v[0] == '+' || p.length >= 0 || p.chunked {
			return fmt.Errorf("%w: Content-Length", ErrMalformed)
		}
		if n > uint64(p.lim.Body) {
			return ErrTooLarge
		}
		p.length = int(n)
	case "transfer-encoding":
		if !strings.EqualFold(v, "chunked") || p.length >= 0 || p.chunked {
			return fmt.Errorf("%w: Transfer-Encoding", ErrMalformed)
		}
		p.chunked = true
	case "connection":
		for f := range strings.SplitSeq(v, ",") {
			switch strings.ToLower(strings.Trim(f, " \t")) {
			case "close":
				p.msg.Close = true
			case "keep-alive":
				p.keep = true
			}
		}
	case "retry-after":
		p.msg.RetryAfter = v
	}
	return nil
}

func (p *Parser) endHeaders() error {
	if p.http10 {
		if p.chunked {
			return fmt.Errorf("%w: chunked in HTTP/1.0", ErrMalformed)
		}
		p.msg.Close = p.msg.Close || !p.keep
	}
	bodiless := p.response && (p.msg.Status < 200 || p.msg.Status == 204 || p.msg.Status == 304)
	switch {
	case bodiless:
		p.stage = atStart
	case p.chunked:
		p.stage = atChunkSize
	case p.length > 0:
		p.stage = inBody
	case p.length == 0 || !p.response:
		p.stage = atStart
	default:
		p.msg.Close = true
		p.stage = untilClose
	}
	return nil
}

var reasons = map[int]string{200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	409: "Conflict", 413: "Content Too Large", 421: "Misdirected Request", 422: "Unprocessable Content",
	429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}

// AppendResponse encodes a response. retryAfter is in whole seconds, 0 for none.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n", status, reasons[status], len(body))
	if retryAfter > 0 {
		dst = fmt.Appendf(dst, "Retry-After: %d\r\n", retryAfter)
	}
	if closing {
		dst = append(dst, "Connection: close\r\n"...)
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// AppendRequest encodes a request.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, host)
	if body != nil {
		dst = fmt.Appendf(dst, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}
