// Package scaling rents, lists and returns machines: it carries out at the cloud what
// internal/autoscaler decides. One goroutine runs the loop, and only that goroutine uses the fields
// of a Loop that record the cloud's responses. A rental request without a response is repeated
// under the same name, so that the cloud carries it out once.
package scaling
