// Package timing has a sleep that ends with its context, and how long users wait for answers.
package timing
