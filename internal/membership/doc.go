// Package membership asks the other controllers what they see of the state service and what
// they have done while this one can't reach it, and answers the same. It picks the peer
// that users' requests are forwarded to meanwhile.
//
// It guards against two failures: an outage of the state service for all, in which leaders may go
// on answering workers for as long as all controllers acknowledge what they did, and a refusal of
// this node alone, in which a peer can still serve its users. No lock is held while a peer is
// asked.
package membership
