package external

import (
	"context"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/peer"
	"violetturn/internal/store"
)

// Services are the outside systems of a controller. They are set before anything uses them.
type Services struct {
	Store   StateService
	Cloud   Cloud
	Workers Workers
	Peers   Peers
}

// StateService is the consensus-backed key-value store, within this controller's share of its
// rates. Its errors are those of package store.
type StateService interface {
	Get(ctx context.Context, key string, p store.Priority) (item store.Item, found bool, err error)
	List(ctx context.Context, prefix string) (items []store.Item, revision uint64, err error)
	Changes(
		ctx context.Context, prefix string, since uint64, block time.Duration,
	) (changes []store.Change, revision uint64, err error)
	Commit(ctx context.Context, txn *store.Txn, p store.Priority) (store.CommitResult, error)

	GrantLease(ctx context.Context, ttl time.Duration) (leaseID uint64, err error)
	RenewLease(ctx context.Context, leaseID uint64) error
	RevokeLease(ctx context.Context, leaseID uint64) error

	// AwaitWriteBudget waits until some changes can be sent, n at best, and returns how many.
	AwaitWriteBudget(ctx context.Context, n int, p store.Priority) int
	// SetControllerCount shares the rates among so many controllers.
	SetControllerCount(controllers int)
	// ReserveForGangs has others than gangs leave so many changes besides.
	ReserveForGangs(changes float64)
	// LowerLimits goes over to the coming limits.
	LowerLimits()
	// TokensUsed returns how many requests and changes were sent in all.
	TokensUsed() (requests, writes float64)
}

// Cloud rents machines. Its errors are those of package cloud.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]cloud.MachineType, error)
	Rent(ctx context.Context, request cloud.RentalRequest) (hosts []string, err error)
	Return(ctx context.Context, hosts []string) error
	ListPage(ctx context.Context, since string) (hosts []cloud.Machine, truncated bool, err error)
}

// Workers reaches workers at their addresses, beside their heartbeats.
type Workers interface {
	// SendCommands returns the worker's heartbeat after the commands, and whether they were
	// executed.
	SendCommands(ctx context.Context, addr string, batch api.CommandBatch) (*api.Heartbeat, bool, error)
	// FetchHeartbeat returns the worker's heartbeat.
	FetchHeartbeat(ctx context.Context, addr string) (*api.Heartbeat, error)
}

// Peers reaches the other controllers.
type Peers interface {
	Call(ctx context.Context, addr string, request *peer.Request, deadline time.Duration) (*peer.Reply, error)
}
