// Package httpwire is an incremental HTTP/1.1 parser and encoder for requests and responses. The
// parser accepts a stream in fragments of any size and buffers no more than its limits allow. It
// rejects messages that another implementation might parse differently (two lengths, a bare line
// feed, folded headers), since request smuggling exploits such differences.
//
// A Parser must be used by one goroutine at a time. Its first error is permanent, since the next
// message boundary in the stream can't be determined after it.
package httpwire
