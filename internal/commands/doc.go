// Package commands sends direct commands and probes to workers, each in a goroutine that ends
// with the answer or the client's deadline.
package commands
