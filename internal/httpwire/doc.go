// Package httpwire is the project's own HTTP/1.1 parser and encoder. The parser takes bytes as
// they come, split anywhere, for requests and for responses, and holds no more than its limits
// allow. It refuses whatever another implementation could read otherwise (two lengths, a bare
// line feed, folded headers), since that is how requests are smuggled past a proxy.
//
// A Parser belongs to one goroutine. After its first error it stays failed, as the stream has
// no message boundary that could be trusted.
package httpwire
