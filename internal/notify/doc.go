// Package notify has a signal that wakes one waiting goroutine and never blocks who sends it.
package notify
