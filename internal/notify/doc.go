// Package notify implements a signal that wakes one waiting goroutine and never blocks the sender.
package notify
