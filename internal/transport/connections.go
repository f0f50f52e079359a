package transport

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"

	"violetturn/internal/httpwire"
)

// serverConn is one connection of a server. Only the event loop touches it.
type serverConn struct {
	conn     gnet.Conn
	parser   *httpwire.Parser
	busy     bool // a request is being answered
	lastUsed time.Time
	element  *list.Element // in the connection table; nil once it was closed
}

// connectionTable holds a server's connections in the order of their last use, so that those
// idle longest come first. Only the event loop touches it.
type connectionTable struct {
	maxConns int
	maxIdle  time.Duration
	order    list.List // of *serverConn
}

// add takes a new connection in; it reports false when there is no room. Idle connections
// that have lasted too long make room, then the one that was idle longest.
func (t *connectionTable) add(sc *serverConn) bool {
	t.closeIdle(sc.lastUsed)
	if t.order.Len() >= t.maxConns && !t.evict() {
		return false
	}
	sc.element = t.order.PushBack(sc)
	return true
}

// crowded reports whether more than half of the places are taken.
func (t *connectionTable) crowded() bool { return t.order.Len() > t.maxConns/2 }

// closeIdle closes the connections that were idle for too long.
func (t *connectionTable) closeIdle(now time.Time) {
	for e := t.order.Front(); e != nil && now.Sub(connectionOf(e).lastUsed) > t.maxIdle; e = t.order.Front() {
		t.close(connectionOf(e))
	}
}

// evict closes the connection that was idle longest; it reports false if all are busy.
func (t *connectionTable) evict() bool {
	for e := t.order.Front(); e != nil; e = e.Next() {
		if sc := connectionOf(e); !sc.busy {
			t.close(sc)
			return true
		}
	}
	return false
}

// close removes a connection and closes it.
func (t *connectionTable) close(sc *serverConn) {
	if t.remove(sc) {
		_ = sc.conn.Close()
	}
}

// remove takes a connection out; it reports whether it was there.
func (t *connectionTable) remove(sc *serverConn) bool {
	if sc.element == nil {
		return false
	}
	t.order.Remove(sc.element)
	sc.element = nil
	return true
}

// touch notes that a connection was in use just now.
func (t *connectionTable) touch(sc *serverConn) {
	sc.lastUsed = time.Now()
	if sc.element != nil {
		t.order.MoveToBack(sc.element)
	}
}

// connectionOf returns the connection that an element of the table holds.
func connectionOf(e *list.Element) *serverConn {
	sc, ok := e.Value.(*serverConn)
	if !ok {
		panic("transport: the connection table holds something else")
	}
	return sc
}
