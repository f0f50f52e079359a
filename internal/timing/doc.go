// Package timing provides a sleep that ends with its context and the timeout for user requests.
package timing
