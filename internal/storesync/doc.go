// Package storesync keeps the cache up to date with the state service: it loads and watches the
// live records, serves read barriers and commits transactions. The outcome of a commit without a
// response is unknown until a later read shows it.
package storesync
