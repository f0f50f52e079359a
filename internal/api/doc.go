// Package api defines the JSON messages of the protocol document (PROTOCOL): the submissions of
// users and the responses to them, and the heartbeats of workers and the commands to them. Struct
// tags and the values of the enumerations contain the words of the protocol; identifiers in the
// code use the usual terms of cluster scheduling.
//
// The parsers are strict: a field of a submission that is missing, has the wrong type or is out of
// range is an error. Unknown fields are ignored, because the sender may run a newer version. Each
// parser error is a RequestError, which contains the HTTP status of the response.
//
// The package has no state, so everything in it may be used from any goroutine.
package api
