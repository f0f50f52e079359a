// Package agent keeps what this controller knows of the workers of the shards that it leads:
// their heartbeats, whether they have seen its fencing token, when their leases have surely
// expired, and which attempts of tasks have ended there.
//
// A worker's tasks count as over only if its heartbeat, made under this leader's term, shows
// it, or if its lease has surely expired. The package does no I/O: internal/commands sends what
// DirectCommands prepares. The lock of internal/state guards it.
//
// Registry holds an Agent for each worker: the view of one worker under the present term, a
// value without a clock or a lock of its own. CloudListing is what the cloud lists, and
// UnregisteredMachines are those machines that have no record yet.
//
// Invariants of an Agent:
//   - a heartbeat that is no newer than an earlier one, or was made under an older term, changes
//     nothing that is believed of the worker;
//   - an agent that has seen the term has a heartbeat, and never becomes unfenced again: a new
//     term begins a new Agent;
//   - its token only rises;
//   - a terminated machine stays terminated, a cordoned one stays cordoned;
//   - the decision that an attempt has ended is never reversed.
package agent
