// Package membership queries the peers (the other controllers), while this one cannot reach the
// state service, about whether they reach it and what they have done, and answers the same queries.
// It selects the peer to which users' requests are forwarded meanwhile.
//
// It guards against two failures. In an outage of the state service for all controllers, leaders
// may continue to answer workers for as long as all controllers acknowledge their actions. If the
// state service refuses only this controller, a peer can still serve its users. No lock is held
// while a peer is queried.
package membership
