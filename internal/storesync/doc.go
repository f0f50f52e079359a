// Package storesync keeps the cache in step with the state service: it loads and watches the
// live records, serves read barriers and commits transactions. After a commit without an
// answer the outcome is unknown until a later read shows it.
package storesync
