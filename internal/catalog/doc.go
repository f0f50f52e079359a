// Package catalog keeps what the cloud offers: the machine types, and for each offer that the cloud
// refused the backoff, during which it is not requested again. The lock of internal/state guards it.
package catalog
