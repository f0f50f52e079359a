package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// stage is what a parser expects next.
type stage int

// The stages of a message.
const (
	atStart     stage = iota // a start line; between two messages
	inHeaders                // a header, or the blank line after the last one
	inBody                   // a body of a known length
	atChunkSize              // the line before a chunk
	inChunk                  // a chunk and its line end
	inTrailers               // a header after the last chunk, or the blank line
	untilClose               // a body that runs until the stream ends
)

// lengthUnknown is the length of a body before a Content-Length header was read.
const lengthUnknown = -1

// lineEnd is the number of bytes of the line end after a chunk.
const lineEnd = 2

// Parser turns a byte stream into messages. The zero value is not usable; see NewParser.
type Parser struct {
	limits   Limits
	response bool // it reads responses, not requests

	buf     []byte // bytes that were fed and not yet consumed
	scanned int    // bytes of buf known to hold no line end

	stage     stage
	msg       *Message // the one being read; nil between two messages
	headers   int      // header lines read of it
	length    int      // of the body, or of the chunk being read; lengthUnknown without one
	chunked   bool
	http10    bool
	keepAlive bool

	err error // the first error, for ever
}

// NewParser makes a parser for responses, or for requests.
func NewParser(response bool, limits Limits) *Parser {
	return &Parser{limits: limits, response: response}
}

// Feed adds bytes of the stream; it copies them.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next whole message, or nil when it needs more bytes. Its error is
// ErrMalformed or ErrTooLarge, and every later call returns the same.
func (p *Parser) Next() (*Message, error) {
	for p.err == nil {
		whole, more := p.step()
		if whole {
			return p.finish(), nil
		}
		if more {
			break
		}
	}
	return nil, p.err
}

// EndOfStream tells the parser that the stream has ended. It returns the response whose body runs
// until then, nil if there is none.
func (p *Parser) EndOfStream() *Message {
	if p.err != nil || p.stage != untilClose {
		return nil
	}
	p.msg.Body = p.buf
	p.buf = nil
	return p.finish()
}

// finish returns the message being read and makes ready for the next one.
func (p *Parser) finish() *Message {
	m := p.msg
	p.msg, p.stage = nil, atStart
	return m
}

// step parses on by one element. whole reports whether that completed a message, more whether
// more bytes are needed, or the message is in error.
func (p *Parser) step() (whole, more bool) {
	switch p.stage {
	case atStart:
		return false, p.readStart()
	case inHeaders:
		return p.readHeader()
	case inBody:
		return p.readBody()
	case atChunkSize:
		return false, p.readChunkSize()
	case inChunk:
		return false, p.readChunk()
	case inTrailers:
		return p.readTrailer()
	case untilClose:
		return p.readUntilClose()
	}
	panic("httpwire: no such stage")
}

// readStart reads a start line.
func (p *Parser) readStart() (more bool) {
	s, ok := p.line()
	if !ok {
		return true
	}
	p.msg = &Message{}
	p.headers, p.length, p.chunked, p.keepAlive, p.http10 = 0, lengthUnknown, false, false, false
	p.err = p.parseStartLine(s)
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
	if p.headers++; p.headers > p.limits.HeaderCount {
		p.err = malformed("too many headers")
	} else {
		p.err = p.parseHeader(s)
	}
	return false, p.err != nil
}

// readBody reads a body of a known length.
func (p *Parser) readBody() (whole, more bool) {
	if len(p.buf) < p.length {
		return false, true
	}
	p.msg.Body = append([]byte(nil), p.buf[:p.length]...)
	p.consume(p.length)
	return true, false
}

// readChunkSize reads the line before a chunk.
func (p *Parser) readChunkSize() (more bool) {
	s, ok := p.line()
	if !ok {
		return true
	}
	s, _, _ = strings.Cut(s, ";") // extensions say nothing to us
	s = strings.TrimRight(s, " \t")
	n, err := strconv.ParseUint(s, 16, 31)
	if err != nil || s == "" || s[0] == '+' {
		p.err = malformed("chunk size")
		return true
	}
	if len(p.msg.Body)+int(n) > p.limits.BodyBytes {
		p.err = ErrTooLarge
		return true
	}
	p.length, p.stage = int(n), inChunk
	if n == 0 {
		p.stage = inTrailers
	}
	return false
}

// readChunk reads a chunk with its line end.
func (p *Parser) readChunk() (more bool) {
	if len(p.buf) < p.length+lineEnd {
		return true
	}
	if p.buf[p.length] != '\r' || p.buf[p.length+1] != '\n' {
		p.err = malformed("chunk end")
		return true
	}
	p.msg.Body = append(p.msg.Body, p.buf[:p.length]...)
	p.consume(p.length + lineEnd)
	p.stage = atChunkSize
	return false
}

// readTrailer reads a header after the last chunk, or the end of the message.
func (p *Parser) readTrailer() (whole, more bool) {
	s, ok := p.line()
	if !ok {
		return false, true
	}
	if s == "" {
		return true, false
	}
	if p.headers++; p.headers > p.limits.HeaderCount {
		p.err = malformed("too many trailers")
	}
	return false, p.err != nil
}

// readUntilClose checks the size of a body that runs until the stream ends, which End tells.
func (p *Parser) readUntilClose() (whole, more bool) {
	if len(p.buf) > p.limits.BodyBytes {
		p.err = ErrTooLarge
	}
	return false, true
}

// line consumes the next line and returns it without its end, or returns false when it is not
// whole or in error. A bare line feed is refused: accepting it where another hop does not is
// how requests are smuggled.
func (p *Parser) line() (string, bool) {
	i := bytes.IndexByte(p.buf[p.scanned:], '\n')
	if i < 0 {
		p.scanned = len(p.buf)
		if p.scanned > p.limits.LineBytes {
			p.err = malformed("line too long")
		}
		return "", false
	}
	i += p.scanned
	if i > p.limits.LineBytes || i == 0 || p.buf[i-1] != '\r' {
		p.err = malformed("bad line end")
		return "", false
	}
	s := string(p.buf[:i-1])
	p.consume(i + 1)
	return s, true
}

// consume drops the first n bytes of the buffer, and the buffer itself once it is empty.
func (p *Parser) consume(n int) {
	p.buf = p.buf[n:]
	p.scanned = 0
	if len(p.buf) == 0 {
		p.buf = nil
	}
}
