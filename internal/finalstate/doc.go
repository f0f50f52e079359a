// Package finalstate remembers how jobs ended, the newest ones, so that users who ask for them
// cost no read. Others are read from the state service. The lock of internal/state guards it.
package finalstate
