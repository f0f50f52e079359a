package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes TCP connections on to an address, unless it is cut: then nothing passes, and the
// connections hang.
type proxy struct {
	target string
	addr   string

	mu   sync.Mutex
	cond *sync.Cond
	cut  bool
}

// newProxy starts a proxy on a free loopback address.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, addr: l.Addr().String()}
	p.cond = sync.NewCond(&p.mu)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

// setCut begins or ends a cut.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	p.cond.Broadcast()
}

// awaitOpen waits while the proxy is cut.
func (p *proxy) awaitOpen() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.cut {
		p.cond.Wait()
	}
}

// pass passes a connection on.
func (p *proxy) pass(in net.Conn) {
	p.awaitOpen()
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	go p.copyOpen(out, in)
	p.copyOpen(in, out)
}

// copyOpen copies from one connection to the other, and holds back what arrives during a cut.
func (p *proxy) copyOpen(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.awaitOpen()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}
