// Package simulator simulates what surrounds the controllers: the state service, the cloud,
// the workers on its machines, and the users' view of their jobs. It follows PROTOCOL,
// injects faults and checks PROTOCOL's rules.
//
// Its invariants:
//
//   - Nothing runs by itself. The clock of a World moves only in World.Advance (which
//     Server.Tick calls for a world that is served over HTTP), and every effect happens in
//     that call or in a client's call. A World has no lock; Server adds one.
//   - The same calls have the same effects in the same order. The package draws random
//     numbers only from generators that its caller passes, and iterates over maps only
//     where the order does not show.
//   - A broken rule is recorded in World.Violations and changes nothing else, so that one
//     run shows all that follows from a fault.
//   - A fault is set by a test and stays until the test ends it, except those of single
//     requests (Fault), which apply to the next request only.
package simulator
