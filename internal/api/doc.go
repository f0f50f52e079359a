// Package api holds the JSON messages of PROTOCOL: what users submit and are told, what workers
// report and are commanded. The wire's words stand in the struct tags and in the values of the
// enumerations; the names in the code are the field's terms.
//
// The parsers are strict about what they take: in a submission a field that is missing, of a
// wrong type or out of range is an error, while unknown fields are not, since the other side may
// be newer. An error of a parser is a RequestError, which carries the status that the sender is
// answered with.
//
// The package has no state: everything may be used from any goroutine.
package api
