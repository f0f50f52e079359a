// Package membership asks the other controllers what they see of the state service and what
// they have done, while this one can't reach it, and answers the same of them. It picks the peer
// that users' requests are forwarded to meanwhile.
package membership
