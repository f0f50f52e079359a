package httpwire

import (
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// parseFragments feeds the fragments of a stream to a parser and returns all complete messages.
func parseFragments(p *Parser, fragments []string) ([]*Message, error) {
	var out []*Message
	for _, s := range fragments {
		p.Feed([]byte(s))
		for {
			m, err := p.Next()
			if err != nil {
				return out, err
			}
			if m == nil {
				break
			}
			out = append(out, m)
		}
	}
	return out, nil
}

// splitRandomly splits a stream into random fragments of 1 to 40 bytes.
func splitRandomly(t *rapid.T, s string) []string {
	var out []string
	for len(s) > 0 {
		n := rapid.IntRange(1, min(len(s), 40)).Draw(t, "fragment")
		out = append(out, s[:n])
		s = s[n:]
	}
	return out
}

// A valid stream of requests or responses yields the same messages however it is fragmented.
func TestFragmentationDoesNotChangeMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var stream strings.Builder
		var want []*Message
		response := rapid.Bool().Draw(t, "response")
		for range rapid.IntRange(1, 4).Draw(t, "messages") {
			body := rapid.StringN(0, 80, 200).Draw(t, "body")
			m := &Message{}
			if response {
				m.Status = rapid.SampledFrom([]int{200, 201, 404, 503}).Draw(t, "status")
				fmt.Fprintf(&stream, "HTTP/1.1 %d What Ever\r\n", m.Status)
			} else {
				m.Method, m.Target = "POST", "/a/b?c=d"
				stream.WriteString("POST /a/b?c=d HTTP/1.1\r\nHost:  x \r\n")
			}
			if rapid.Bool().Draw(t, "chunked") {
				stream.WriteString("Transfer-Encoding: chunked\r\n\r\n")
				for remaining := body; remaining != ""; {
					n := rapid.IntRange(1, len(remaining)).Draw(t, "chunk")
					fmt.Fprintf(&stream, "%x;ext=1\r\n%s\r\n", n, remaining[:n])
					remaining = remaining[n:]
				}
				stream.WriteString("0\r\nTrailer: x\r\n\r\n")
			} else {
				fmt.Fprintf(&stream, "content-length: %d\r\n\r\n%s", len(body), body)
			}
			if body != "" {
				m.Body = []byte(body)
			}
			want = append(want, m)
		}
		got, err := parseFragments(NewParser(response, RequestLimits), splitRandomly(t, stream.String()))
		if err != nil {
			t.Fatalf("valid stream: got error %v, want none", err)
		}
		if d := cmp.Diff(want, got); d != "" {
			t.Fatalf("messages differ (-want +got):\n%s", d)
		}
	})
}

// Streams that are malformed, ambiguous or exceed the limits are rejected without a message.
func TestInvalidStreamIsRejected(t *testing.T) {
	for name, s := range map[string]string{
		"two lengths":          "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx",
		"length and chunked":   "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"chunked and length":   "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n",
		"length list":          "POST / HTTP/1.1\r\nContent-Length: 1, 1\r\n\r\nx",
		"signed length":        "POST / HTTP/1.1\r\nContent-Length: +1\r\n\r\nx",
		"negative length":      "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\nx",
		"empty length":         "POST / HTTP/1.1\r\nContent-Length:\r\n\r\nx",
		"other coding":         "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
		"folded header":        "POST / HTTP/1.1\r\nA: b\r\n c\r\n\r\n",
		"blank before colon":   "POST / HTTP/1.1\r\nContent-Length : 1\r\n\r\nx",
		"bare line feed":       "GET / HTTP/1.1\nHost: x\n\n",
		"no path":              "GET  HTTP/1.1\r\n\r\n",
		"absolute form":        "GET http://x/ HTTP/1.1\r\n\r\n",
		"other version":        "GET / HTTP/2.0\r\n\r\n",
		"chunk size with sign": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\nx\r\n0\r\n\r\n",
		"chunk above its size": "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
		"body too large":       "POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
		"endless line":         "GET /" + strings.Repeat("a", 10000),
		"headers without end":  "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 100),
	} {
		if got, err := parseFragments(NewParser(false, RequestLimits), []string{s}); err == nil || len(got) > 0 {
			t.Errorf("%s: got messages %v, error %v; want none and an error", name, got, err)
		}
	}
}

// No input makes the parser panic or buffer more than its limits allow.
func FuzzParser(f *testing.F) {
	f.Add([]byte("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nx"), true)
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"), false)
	f.Fuzz(func(t *testing.T, b []byte, response bool) {
		limits := Limits{LineBytes: 64, HeaderCount: 4, BodyBytes: 100}
		p := NewParser(response, limits)
		for i := range b {
			p.Feed(b[i : i+1])
			m, err := p.Next()
			if err != nil {
				return
			}
			if m != nil && len(m.Body) > limits.BodyBytes {
				t.Fatalf("got a body of %d bytes, want at most %d", len(m.Body), limits.BodyBytes)
			}
			if len(p.buf) > limits.LineBytes+limits.BodyBytes+3 {
				t.Fatalf("parser buffers %d bytes, want at most %d", len(p.buf), limits.LineBytes+limits.BodyBytes+3)
			}
		}
	})
}

// The body of a response without a length extends to the end of the stream.
func TestResponseWithoutLengthEndsWithStream(t *testing.T) {
	p := NewParser(true, RequestLimits)
	if got, err := parseFragments(p, []string{"HTTP/1.0 200 OK\r\n\r\n", "ab"}); err != nil || len(got) > 0 {
		t.Fatalf("before the end of the stream: got messages %v, error %v; want neither", got, err)
	}
	if m := p.EndOfStream(); m == nil || string(m.Body) != "ab" || !m.Close {
		t.Fatalf("after the end of the stream: got %+v, want body %q and Close set", m, "ab")
	}
}
