package httpwire

import (
	"fmt"
	"strconv"
	"strings"
)

// Range and length of a response status, and the statuses that affect parsing.
const (
	minStatus         = 100
	minFinalStatus    = 200 // lower ones are interim responses
	statusNoContent   = 204
	statusNotModified = 304
	maxStatus         = 599
	statusDigits      = 3
)

// parseStartLine parses the start line of a request or a response.
func (p *Parser) parseStartLine(s string) error {
	if p.response {
		return p.parseStatusLine(s)
	}
	return p.parseRequestLine(s)
}

// parseStatusLine parses the start line of a response: version, status, any reason phrase.
func (p *Parser) parseStatusLine(s string) error {
	fields := strings.SplitN(s, " ", 3)
	if len(fields) < 2 {
		return malformed("start line")
	}
	status, err := strconv.Atoi(fields[1])
	if err != nil || status < minStatus || status > maxStatus || len(fields[1]) != statusDigits {
		return malformed("start line")
	}
	p.msg.Status = status
	return p.parseVersion(fields[0])
}

// parseRequestLine parses the start line of a request: method, path and query, version.
func (p *Parser) parseRequestLine(s string) error {
	fields := strings.SplitN(s, " ", 3)
	if len(fields) != 3 || !isToken(fields[0]) || !isTarget(fields[1]) {
		return malformed("start line")
	}
	p.msg.Method, p.msg.Target = fields[0], fields[1]
	return p.parseVersion(fields[2])
}

// parseVersion parses the HTTP version of a message.
func (p *Parser) parseVersion(s string) error {
	switch s {
	case "HTTP/1.1":
	case "HTTP/1.0":
		p.http10 = true
	default:
		return malformed("HTTP version")
	}
	return nil
}

// isTarget reports whether s is a path, with or without a query, of printable ASCII characters.
func isTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != "" && s[0] == '/'
}

// isToken reports whether s is an HTTP token, the syntax of methods and header names.
func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

// isTokenByte reports whether an HTTP token may contain c.
func isTokenByte(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

// parseHeader parses one header line. It checks the syntax of every header and evaluates those
// that the controllers use.
func (p *Parser) parseHeader(s string) error {
	colon := strings.IndexByte(s, ':')
	if colon <= 0 || !isToken(s[:colon]) { // also rejects a leading blank (a folded header)
		return malformed("header")
	}
	value := strings.Trim(s[colon+1:], " \t")
	if strings.ContainsAny(value, "\r\x00") {
		return malformed("header value")
	}
	switch strings.ToLower(s[:colon]) {
	case "content-length":
		return p.parseContentLength(value)
	case "transfer-encoding":
		return p.parseTransferEncoding(value)
	case "connection":
		p.parseConnection(value)
	case "retry-after":
		p.msg.RetryAfter = value
	}
	return nil
}

// parseContentLength parses the length of the body. It rejects a second length, equal or not, and
// a length together with chunked encoding.
func (p *Parser) parseContentLength(value string) error {
	n, err := strconv.ParseUint(value, 10, 62)
	if err != nil || value[0] == '+' || p.length != lengthUnknown || p.chunked {
		return malformed("Content-Length")
	}
	if n > uint64(p.limits.BodyBytes) {
		return ErrTooLarge
	}
	p.length = int(n)
	return nil
}

// parseTransferEncoding parses the transfer coding of the body. It accepts "chunked" only.
func (p *Parser) parseTransferEncoding(value string) error {
	if !strings.EqualFold(value, "chunked") || p.length != lengthUnknown || p.chunked {
		return malformed("Transfer-Encoding")
	}
	p.chunked = true
	return nil
}

// parseConnection determines whether the sender closes the connection or keeps it open.
func (p *Parser) parseConnection(value string) {
	for option := range strings.SplitSeq(value, ",") {
		switch strings.ToLower(strings.Trim(option, " \t")) {
		case "close":
			p.msg.Close = true
		case "keep-alive":
			p.keepAlive = true
		}
	}
}

// selectBodyFraming determines from the headers how the body is delimited.
func (p *Parser) selectBodyFraming() error {
	if p.http10 {
		if p.chunked {
			return malformed("chunked encoding in HTTP/1.0")
		}
		p.msg.Close = p.msg.Close || !p.keepAlive
	}
	switch {
	case p.response && hasNoBody(p.msg.Status):
		p.stage = stageStartLine
	case p.chunked:
		p.stage = stageChunkSize
	case p.length > 0:
		p.stage = stageBody
	case p.length == 0 || !p.response:
		p.stage = stageStartLine
	default:
		p.msg.Close = true
		p.stage = stageBodyUntilClose
	}
	return nil
}

// hasNoBody reports whether a response with the status has no body regardless of its headers.
func hasNoBody(status int) bool {
	return status < minFinalStatus || status == statusNoContent || status == statusNotModified
}

// malformed returns ErrMalformed with the invalid element of the message.
func malformed(element string) error { return fmt.Errorf("%w: %s", ErrMalformed, element) }
