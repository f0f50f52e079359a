// Package simulator simulates the environment of the controllers: the state service, the cloud,
// the workers on its machines, and the users who submit jobs. It follows the protocol document
// (PROTOCOL), injects faults and checks the rules of PROTOCOL.
//
// Its invariants:
//
//   - There are no background goroutines. The simulated clock advances only in
//     Environment.Advance (which Server.Tick calls for an environment that is served over HTTP),
//     and every effect happens in that call or in a client's call. The environment has no lock;
//     Server adds one.
//   - The simulation is deterministic: the same calls have the same effects in the same order.
//     The package draws random numbers only from generators that its caller passes, and iterates
//     over maps only where the order does not affect the result.
//   - A rule violation is recorded in Environment.Violations and changes nothing else, so that
//     one run shows all consequences of a fault.
//   - A fault is injected by a test and lasts until the test clears it, except faults of single
//     requests (Fault), which apply to the next request only.
package simulator
