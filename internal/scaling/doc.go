// Package scaling rents, lists and returns machines. One goroutine runs it, and only it uses
// the state of rentals under way; a rental without an answer is repeated under its name.
package scaling
