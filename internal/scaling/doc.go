// Package scaling rents, lists and returns machines: it carries out at the cloud what
// internal/autoscaler decides. One goroutine runs its rounds, and only that uses what a Loop
// remembers of the cloud; a rental without an answer is repeated under its name, so that it is
// carried out once.
package scaling
