package transport

import (
	"container/list"
	"time"

	"github.com/panjf2000/gnet/v2"

	"violetturn/internal/httpwire"
)

// serverConn is one connection of a Server. Only the event loop accesses it.
type serverConn struct {
	conn         gnet.Conn
	parser       *httpwire.Parser
	busy         bool // a handler is working on a request
	lastUsed     time.Time
	tableElement *list.Element // in the connection table; nil after removal
}

// connectionTable holds a server's connections in the order of their last use, least recently
// used first. Only the event loop accesses it.
type connectionTable struct {
	maxConns  int
	maxIdle   time.Duration
	byLastUse list.List // of *serverConn
}

// add adds a new connection. It first closes the connections that were last used more than
// maxIdle ago, then, if the table is still full, the one that was idle longest. It reports false
// if the table is full of busy connections.
func (t *connectionTable) add(sc *serverConn) bool {
	t.closeIdle(sc.lastUsed)
	if t.byLastUse.Len() >= t.maxConns && !t.evictLongestIdle() {
		return false
	}
	sc.tableElement = t.byLastUse.PushBack(sc)
	return true
}

// aboveHalfCapacity reports whether the table holds more than half of maxConns.
func (t *connectionTable) aboveHalfCapacity() bool { return t.byLastUse.Len() > t.maxConns/2 }

// closeIdle closes the connections that were last used more than maxIdle ago.
func (t *connectionTable) closeIdle(now time.Time) {
	for e := t.byLastUse.Front(); e != nil && now.Sub(connectionOf(e).lastUsed) > t.maxIdle; e = t.byLastUse.Front() {
		t.close(connectionOf(e))
	}
}

// evictLongestIdle closes the connection that was idle longest, and reports whether there was one.
func (t *connectionTable) evictLongestIdle() bool {
	for e := t.byLastUse.Front(); e != nil; e = e.Next() {
		if sc := connectionOf(e); !sc.busy {
			t.close(sc)
			return true
		}
	}
	return false
}

// close removes a connection from the table and closes it.
func (t *connectionTable) close(sc *serverConn) {
	if t.remove(sc) {
		_ = sc.conn.Close()
	}
}

// remove removes a connection from the table and reports whether it was there.
func (t *connectionTable) remove(sc *serverConn) bool {
	if sc.tableElement == nil {
		return false
	}
	t.byLastUse.Remove(sc.tableElement)
	sc.tableElement = nil
	return true
}

// markUsed sets a connection's time of last use to now and moves it to the end of the order.
func (t *connectionTable) markUsed(sc *serverConn) {
	sc.lastUsed = time.Now()
	if sc.tableElement != nil {
		t.byLastUse.MoveToBack(sc.tableElement)
	}
}

// connectionOf returns the connection stored in a list element.
func connectionOf(e *list.Element) *serverConn {
	sc, ok := e.Value.(*serverConn)
	if !ok {
		panic("transport: connection table element is not a *serverConn")
	}
	return sc
}
