package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// stage is the element of a message that a parser expects next.
type stage int

// The stages of a message.
const (
	stageStartLine      stage = iota // a start line; initial stage, and after each message
	stageHeaders                     // a header, or the blank line after the last header
	stageBody                        // a body of a known length
	stageChunkSize                   // the line with the size of the next chunk
	stageChunk                       // a chunk and the line end after it
	stageTrailers                    // a header after the last chunk, or the final blank line
	stageBodyUntilClose              // a body that extends to the end of the stream
)

// lengthUnknown is the value of Parser.length until a Content-Length header has been parsed.
const lengthUnknown = -1

// lineEndBytes is the length of the line end after a chunk.
const lineEndBytes = 2

// Parser parses a byte stream into messages. Use NewParser to make one.
type Parser struct {
	limits   Limits
	response bool // it parses responses, not requests

	buf     []byte // bytes fed and not yet consumed
	scanned int    // length of the prefix of buf without a line feed

	stage       stage
	msg         *Message // the message being parsed; nil between two messages
	headerCount int      // header lines parsed of the message
	length      int      // of the body or the current chunk; lengthUnknown if not given
	chunked     bool
	http10      bool
	keepAlive   bool

	err error // the first error; permanent
}

// NewParser makes a parser for responses if response is true, else for requests.
func NewParser(response bool, limits Limits) *Parser {
	return &Parser{limits: limits, response: response}
}

// Feed appends a copy of the next bytes of the stream to the buffer.
func (p *Parser) Feed(b []byte) { p.buf = append(p.buf, b...) }

// Next returns the next complete message, or nil if it needs more bytes. Its error is
// ErrMalformed or ErrTooLarge; every later call returns the same error.
func (p *Parser) Next() (*Message, error) {
	for p.err == nil {
		complete, stop := p.step()
		if complete {
			return p.completeMessage(), nil
		}
		if stop {
			break
		}
	}
	return nil, p.err
}

// EndOfStream handles the end of the stream. It returns the response whose body extends to the
// end of the stream, or nil if there is none.
func (p *Parser) EndOfStream() *Message {
	if p.err != nil || p.stage != stageBodyUntilClose {
		return nil
	}
	p.msg.Body = p.buf
	p.buf = nil
	return p.completeMessage()
}

// completeMessage returns the current message and resets the parser for the next one.
func (p *Parser) completeMessage() *Message {
	m := p.msg
	p.msg, p.stage = nil, stageStartLine
	return m
}

// step parses the next element. complete reports whether that completed a message, stop whether
// parsing can't continue, because more bytes are needed or because the message is invalid (p.err).
func (p *Parser) step() (complete, stop bool) {
	switch p.stage {
	case stageStartLine:
		return false, p.readStartLine()
	case stageHeaders:
		return p.readHeader()
	case stageBody:
		return p.readBody()
	case stageChunkSize:
		return false, p.readChunkSize()
	case stageChunk:
		return false, p.readChunk()
	case stageTrailers:
		return p.readTrailer()
	case stageBodyUntilClose:
		return p.readBodyUntilClose()
	}
	panic("httpwire: invalid parser stage")
}

// readStartLine reads and parses a start line.
func (p *Parser) readStartLine() (stop bool) {
	s, ok := p.readLine()
	if !ok {
		return true
	}
	p.msg = &Message{}
	p.headerCount, p.length, p.chunked, p.keepAlive, p.http10 = 0, lengthUnknown, false, false, false
	p.err = p.parseStartLine(s)
	p.stage = stageHeaders
	return p.err != nil
}

// readHeader reads a header, or the blank line that ends the headers.
func (p *Parser) readHeader() (complete, stop bool) {
	s, ok := p.readLine()
	if !ok {
		return false, true
	}
	if s == "" {
		p.err = p.selectBodyFraming()
		return p.err == nil && p.stage == stageStartLine, p.err != nil
	}
	if p.headerCount++; p.headerCount > p.limits.HeaderCount {
		p.err = malformed("too many headers")
	} else {
		p.err = p.parseHeader(s)
	}
	return false, p.err != nil
}

// readBody reads a body of a known length.
func (p *Parser) readBody() (complete, stop bool) {
	if len(p.buf) < p.length {
		return false, true
	}
	p.msg.Body = append([]byte(nil), p.buf[:p.length]...)
	p.consume(p.length)
	return true, false
}

// readChunkSize reads the line with the size of the next chunk.
func (p *Parser) readChunkSize() (stop bool) {
	s, ok := p.readLine()
	if !ok {
		return true
	}
	s, _, _ = strings.Cut(s, ";") // chunk extensions are ignored
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
	p.length, p.stage = int(n), stageChunk
	if n == 0 {
		p.stage = stageTrailers
	}
	return false
}

// readChunk reads a chunk and the line end after it.
func (p *Parser) readChunk() (stop bool) {
	if len(p.buf) < p.length+lineEndBytes {
		return true
	}
	if p.buf[p.length] != '\r' || p.buf[p.length+1] != '\n' {
		p.err = malformed("chunk end")
		return true
	}
	p.msg.Body = append(p.msg.Body, p.buf[:p.length]...)
	p.consume(p.length + lineEndBytes)
	p.stage = stageChunkSize
	return false
}

// readTrailer reads a header after the last chunk, or the blank line that ends the message.
func (p *Parser) readTrailer() (complete, stop bool) {
	s, ok := p.readLine()
	if !ok {
		return false, true
	}
	if s == "" {
		return true, false
	}
	if p.headerCount++; p.headerCount > p.limits.HeaderCount {
		p.err = malformed("too many trailers")
	}
	return false, p.err != nil
}

// readBodyUntilClose checks the size of a body that extends to the end of the stream. EndOfStream
// completes the message.
func (p *Parser) readBodyUntilClose() (complete, stop bool) {
	if len(p.buf) > p.limits.BodyBytes {
		p.err = ErrTooLarge
	}
	return false, true
}

// readLine consumes the next line and returns it without its line end. It returns false if the
// line is incomplete or invalid. A bare line feed is rejected: accepting it where another hop
// does not would allow request smuggling.
func (p *Parser) readLine() (string, bool) {
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

// consume removes the first n bytes of the buffer and releases the buffer when it is empty.
func (p *Parser) consume(n int) {
	p.buf = p.buf[n:]
	p.scanned = 0
	if len(p.buf) == 0 {
		p.buf = nil
	}
}
