// Package commands sends direct commands and probes to workers, each in a goroutine that ends
// with the answer or the client's deadline. internal/agent decides what is sent and bounds how
// much is under way. No lock is held while a worker is asked.
package commands
