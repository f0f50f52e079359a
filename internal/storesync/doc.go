// Package storesync keeps the cache up to date with the state service: it loads and watches the
// live records, serves read barriers and commits transactions. The outcome of a commit that was not
// answered is unknown until a later read shows it.
package storesync
