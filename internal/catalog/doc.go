// Package catalog keeps what the cloud offers: machine types, and the offers that were refused
// and are not to be asked for yet. The lock of internal/state guards it.
package catalog
