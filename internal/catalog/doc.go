// Package catalog keeps what the cloud offers: the machine types, and the backoffs of refused
// offers, until whose end those are not requested again. The lock of internal/state guards it.
package catalog
