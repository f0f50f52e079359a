package frontend

import (
	"violetturn/internal/external"
	"violetturn/internal/membership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/state"
	"violetturn/internal/storesync"
)

// Frontend serves the requests of users, workers and peers. Its methods may be called from any
// goroutine.
type Frontend struct {
	node         *node.Info
	guard        *state.Guard
	services     *external.Services
	sync         *storesync.Sync
	members      *membership.Membership
	wake         notify.Signal // wakes the decision loop
	gangAccepted notify.Signal // notified when a gang has been accepted

	requestSlots chan struct{} // one element for each user request in progress, forwarded ones included
	submissions  submissionQueue
}

// maxUserRequests bounds the user requests in progress.
const maxUserRequests = 128

// Deps contains the dependencies of a Frontend.
type Deps struct {
	Node         *node.Info
	Guard        *state.Guard
	Services     *external.Services
	Sync         *storesync.Sync
	Members      *membership.Membership
	Wake         notify.Signal
	GangAccepted notify.Signal
}

// New returns a Frontend without requests in progress.
func New(d Deps) *Frontend {
	return &Frontend{
		node: d.Node, guard: d.Guard, services: d.Services, sync: d.Sync, members: d.Members,
		wake: d.Wake, gangAccepted: d.GangAccepted, requestSlots: make(chan struct{}, maxUserRequests),
	}
}
