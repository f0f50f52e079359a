package frontend

import (
	"violetturn/internal/external"
	"violetturn/internal/membership"
	"violetturn/internal/node"
	"violetturn/internal/notify"
	"violetturn/internal/state"
	"violetturn/internal/storesync"
)

// Frontend answers users, workers and peers.
type Frontend struct {
	node         *node.Info
	guard        *state.Guard
	services     *external.Services
	sync         *storesync.Sync
	members      *membership.Membership
	wake         notify.Signal
	gangAccepted notify.Signal // a gang has been accepted

	userSlots   chan struct{} // bounds user requests under way
	submissions submissionQueue
}

// maxUserRequests bounds the requests of users that are under way.
const maxUserRequests = 128

// Deps is what a requestFrontend rests on.
type Deps struct {
	Node         *node.Info
	Guard        *state.Guard
	Services     *external.Services
	Sync         *storesync.Sync
	Members      *membership.Membership
	Wake         notify.Signal
	GangAccepted notify.Signal
}

func New(d Deps) *Frontend {
	return &Frontend{
		node: d.Node, guard: d.Guard, services: d.Services, sync: d.Sync, members: d.Members,
		wake: d.Wake, gangAccepted: d.GangAccepted, userSlots: make(chan struct{}, maxUserRequests),
	}
}
