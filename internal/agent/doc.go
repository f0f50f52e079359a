// Package agent keeps this controller's state about the workers of the shards that it leads: their
// heartbeats, whether they have received its fencing token, when their leases have certainly
// expired, and which attempts of tasks have ended on their machines.
//
// A worker's tasks count as ended only if a heartbeat made under this leader's term shows it, or
// if the worker's lease has certainly expired. The package does no I/O: internal/commands sends
// what DirectCommands prepares. The lock of internal/state guards the package's state.
//
// Registry holds an Agent for each worker: the state of one worker under the current term, without a
// clock or a lock of its own. CloudListing holds the machines that the cloud lists, and
// UnregisteredMachines those that have no record yet.
//
// Invariants of an Agent:
//   - a heartbeat that is no newer than an earlier one, or was made under an older term, changes
//     neither State nor Heartbeat;
//   - an agent whose worker has shown the term has a heartbeat and never becomes Unfenced again: a
//     new term starts with a new Agent;
//   - the token of an agent only increases;
//   - a terminated machine stays terminated, a cordoned one stays cordoned;
//   - the decision that an attempt has ended is never reversed.
package agent
