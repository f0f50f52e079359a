// Package transport carries HTTP/1.1 over gnet: a server whose handlers answer in the event
// loop when they can, a client with deadlines, and token buckets that keep a controller
// within its share of an outside system's rate.
//
// # Goroutines
//
// Each Server and each Client has exactly one event loop, the goroutine that gnet starts for
// it. The gnet callbacks (OnBoot, OnOpen, OnTraffic, OnClose and the callback of an
// asynchronous write) run there and nowhere else. What only the event loop touches has no
// lock: a server's connection table and the fields of its connections, and the parser of a
// client's connection. What other goroutines share with it has a mutex of its own, which is
// held for a few statements and never during input or output.
//
// # Failures
//
// A client's request that was never sent fails with an error that is not ErrNoResponse, and
// can safely be repeated. Once it may have been sent, a closed connection, a malformed answer
// or a deadline that passes is ErrNoResponse: whether the other side carried it out is open.
// A server answers a malformed request with 400, one that is too large with 413, and closes
// the connection in both cases.
package transport

// silentLogger drops gnet's own log lines: what matters is logged by the service.
type silentLogger struct{}

func (silentLogger) Debugf(string, ...any) {}
func (silentLogger) Infof(string, ...any)  {}
func (silentLogger) Warnf(string, ...any)  {}
func (silentLogger) Errorf(string, ...any) {}
func (silentLogger) Fatalf(string, ...any) {}
