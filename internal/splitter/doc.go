// Package splitter picks jobs whose records outgrow the state service's limits and copies their
// task ranges into smaller ones, in steps each of which is safe alone. The lock of
// internal/state guards it.
package splitter
