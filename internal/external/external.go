package external

import (
	"context"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/peer"
	"violetturn/internal/store"
)

// The outside systems, as the controller uses them.
type (
	// StateService is the state service: leases, transactions and a watch.
	StateService interface {
		Get(ctx context.Context, key string, r store.Priority) (it store.Item, found bool, err error)
		List(ctx context.Context, prefix string) (items []store.Item, revision uint64, err error)
		Changes(ctx context.Context, prefix string, since uint64, block time.Duration) ([]store.Change, uint64, error)
		Commit(ctx context.Context, t *store.Txn, p store.Priority) (store.CommitResult, error)
		AwaitWrites(ctx context.Context, n int, r store.Priority) int
		SetControllers(controllers int)
		ReserveForGangs(changes float64)
		LowerLimits()
		Used() (requests, writes float64)
		GrantLease(ctx context.Context, ttl time.Duration) (uint64, error)
		RenewLease(ctx context.Context, leaseID uint64) error
		RevokeLease(ctx context.Context, leaseID uint64) error
	}
	cloudService interface {
		MachineTypes(ctx context.Context) ([]cloud.MachineType, error)
		Rent(ctx context.Context, r cloud.RentalRequest) ([]string, error)
		Return(ctx context.Context, hosts []string) error
		Page(ctx context.Context, since string) (hosts []cloud.Host, truncated bool, err error)
	}
	workerService interface {
		SendCommands(ctx context.Context, addr string, o api.CommandBatch) (*api.Heartbeat, bool, error)
		Status(ctx context.Context, addr string) (*api.Heartbeat, error)
	}
	peerService interface {
		Ask(ctx context.Context, addr string, r *peer.Request, deadline time.Duration) (*peer.Reply, error)
	}
)

// Services are the outside systems of a controller.
type Services struct {
	Store   StateService
	Cloud   cloudService
	Workers workerService
	Peers   peerService
}
