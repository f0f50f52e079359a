// Package commands sends direct commands and probes to workers, each in a goroutine that ends with
// the response or at the client's timeout. internal/agent decides what is sent and limits the number
// of commands in flight. No lock is held during a request.
package commands
