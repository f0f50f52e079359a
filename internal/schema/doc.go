// Package schema decides which forms of records may be written and how large they may be, while
// controllers of two versions run side by side and the state service's limits may fall. Nothing
// else asks which version a peer has. Its Editor collects changes of jobs' records for one
// transaction. The lock of internal/state guards it.
package schema
