// Package catalog keeps what the cloud offers: the machine types, and the backoffs of offers that
// were refused and are not to be requested yet. The lock of internal/state guards it.
package catalog
