package frontend

import (
	"violetturn/internal/external"
	"violetturn/internal/membership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/state"
	"violetturn/internal/storesync"
)

// Frontend answers users, workers and peers. Its methods may be called from any goroutine.
type Frontend struct {
	node         *node.Info
	guard        *state.Guard
	services     *external.Services
	sync         *storesync.Sync
	members      *membership.Membership
	wake         notify.Signal // there is something to decide
	gangAccepted notify.Signal // a gang has been accepted

	requestSlots chan struct{} // one for each request of a user that is under way, here or for a peer
	submissions  submissionQueue
}

// maxUserRequests bounds the requests of users that are under way.
const maxUserRequests = 128

// Deps is what a Frontend rests on.
type Deps struct {
	Node         *node.Info
	Guard        *state.Guard
	Services     *external.Services
	Sync         *storesync.Sync
	Members      *membership.Membership
	Wake         notify.Signal
	GangAccepted notify.Signal
}

// New returns a Frontend that nobody has asked yet.
func New(d Deps) *Frontend {
	return &Frontend{
		node: d.Node, guard: d.Guard, services: d.Services, sync: d.Sync, members: d.Members,
		wake: d.Wake, gangAccepted: d.GangAccepted, requestSlots: make(chan struct{}, maxUserRequests),
	}
}
