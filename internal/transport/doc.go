// Package transport implements HTTP/1.1 over gnet: a server whose handlers respond in the event
// loop or later, a client with request timeouts, and a token bucket that keeps a controller
// within its share of an external system's rate limit.
//
// # Goroutines
//
// Each Server and each Client has exactly one event loop, the goroutine that gnet starts for
// it. The gnet callbacks (OnBoot, OnOpen, OnTraffic, OnClose and the callback of an
// asynchronous write) run only there. Data that only the event loop accesses has no lock: a
// server's connection table and the fields of its connections, and the parser of a client's
// connection. Data that the event loop shares with other goroutines is guarded by a mutex, which
// is held for a few statements and never during I/O.
//
// # Failures
//
// A client request that fails with an error other than ErrNoResponse was never sent and can
// safely be retried. Once the request may have been sent, a closed connection, a malformed
// response or a timeout is reported as ErrNoResponse: the server may or may not have carried out
// the request. A server responds to a malformed request with status 400 and to one that is too
// large with 413, and closes the connection in both cases.
package transport

// silentLogger discards gnet's log lines; the callers of this package log the errors they get.
type silentLogger struct{}

func (silentLogger) Debugf(string, ...any) {}
func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(string, ...any) {}
