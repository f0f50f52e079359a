package external

import (
	"context"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/peer"
	"violetturn/internal/store"
)

// Services holds the clients of a controller's external systems. They are set before their first use.
type Services struct {
	Store   StateService
	Cloud   Cloud
	Workers Workers
	Peers   Peers
}

// StateService is a client of the consensus-backed key-value store that keeps within this
// controller's share of its rate limits. Its errors are those of package store.
type StateService interface {
	Get(ctx context.Context, key string, p store.Priority) (item store.Item, found bool, err error)
	List(ctx context.Context, prefix string) (items []store.Item, revision uint64, err error)
	Changes(
		ctx context.Context, prefix string, since uint64, maxBlock time.Duration,
	) (changes []store.Change, revision uint64, err error)
	Commit(ctx context.Context, txn *store.Txn, p store.Priority) (store.CommitResult, error)

	GrantLease(ctx context.Context, ttl time.Duration) (leaseID uint64, err error)
	RenewLease(ctx context.Context, leaseID uint64) error
	RevokeLease(ctx context.Context, leaseID uint64) error

	// AwaitWriteBudget waits for the budget of n writes and returns how many writes can be sent now.
	AwaitWriteBudget(ctx context.Context, n int, p store.Priority) int
	// SetControllerCount sets the number of controllers that share the rates.
	SetControllerCount(controllerCount int)
	// ReserveForGangs sets the number of writes that requests below store.PriorityGang leave to
	// gangs in addition to the regular reserve.
	ReserveForGangs(writes float64)
	// LowerLimits applies the announced lower rate limits.
	LowerLimits()
	// TokensUsed returns the number of request and write tokens consumed since the start.
	TokensUsed() (requests, writes float64)
}

// Cloud is a client of the cloud that rents machines. Its errors are those of package cloud.
type Cloud interface {
	MachineTypes(ctx context.Context) ([]cloud.MachineType, error)
	Rent(ctx context.Context, request cloud.RentalRequest) (hosts []string, err error)
	Return(ctx context.Context, hosts []string) error
	ListPage(ctx context.Context, since string) (machines []cloud.Machine, truncated bool, err error)
}

// Workers sends requests to workers directly, independently of their heartbeats.
type Workers interface {
	// SendCommands sends commands and returns the worker's heartbeat from the response and whether
	// the worker executed them.
	SendCommands(ctx context.Context, addr string, batch api.CommandBatch) (*api.Heartbeat, bool, error)
	// FetchHeartbeat requests and returns the worker's current heartbeat.
	FetchHeartbeat(ctx context.Context, addr string) (*api.Heartbeat, error)
}

// Peers sends requests to the peers, which are the other controllers.
type Peers interface {
	Call(ctx context.Context, addr string, request *peer.Request, timeout time.Duration) (*peer.Reply, error)
}
