package capacity

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/config"
	"violetturn/internal/job"
	"violetturn/internal/node"
)

func newTestArrivals(t *testing.T) *Arrivals {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	return newArrivals(info, catalog.New(info))
}

func arrivalRecord(class string, kind api.JobKind, at time.Time, tasks int) *job.Record {
	return &job.Record{Spec: api.Job{Class: class, Kind: kind, Tasks: tasks}, AcceptedMS: at.UnixMilli()}
}

// Only the newest minArrivalLimit arrivals of a class are kept, oldest first.
func TestArrivalsKeepNewestPerClass(t *testing.T) {
	a := newTestArrivals(t)
	now := time.Unix(1_800_000_000, 0)
	const excess = 3
	for i := range minArrivalLimit + excess {
		a.Record(arrivalRecord("a", api.Array, now.Add(time.Duration(i)*time.Second), i))
	}
	for class, arrivals := range a.ByClass() {
		if class != "a" || len(arrivals) != minArrivalLimit {
			t.Fatalf("class %s has %d arrivals, want class a with %d", class, len(arrivals), minArrivalLimit)
		}
		oldest, newest := arrivals[0], arrivals[minArrivalLimit-1]
		if oldest.Tasks != excess || newest.Tasks != minArrivalLimit+excess-1 || !oldest.AcceptedAt.Equal(now.Add(excess*time.Second)) {
			t.Errorf("kept arrivals are from %+v to %+v, want %d to %d tasks", oldest, newest, excess, minArrivalLimit+excess-1)
		}
	}
}

// Users can name classes freely, so the number of recorded classes must be bounded.
func TestArrivalsBoundNumberOfClasses(t *testing.T) {
	a := newTestArrivals(t)
	for i := range 10 * maxClasses {
		a.Record(arrivalRecord(fmt.Sprint(i), api.Array, time.Unix(1_800_000_000, 0), 1))
		if len(a.byClass) > maxClasses {
			t.Fatalf("%d classes are recorded, want at most %d", len(a.byClass), maxClasses)
		}
	}
}

// Only the newest arrival of each class is considered, and only if it is later than the given time.
func TestArrivedSinceUsesNewestArrivalOfClass(t *testing.T) {
	a := newTestArrivals(t)
	now := time.Unix(1_800_000_000, 0)
	if a.ArrivedSince(api.Gang, now) {
		t.Error("before any arrival: a gang is reported, want none")
	}
	a.Record(arrivalRecord("a", api.Gang, now, 1))
	a.Record(arrivalRecord("b", api.Array, now.Add(time.Minute), 1))
	if !a.ArrivedSince(api.Gang, now.Add(-time.Millisecond)) {
		t.Error("a gang that arrived after the given time is not reported, want it reported")
	}
	if a.ArrivedSince(api.Gang, now) {
		t.Error("a gang that arrived exactly at the given time is reported, want none")
	}
	a.Record(arrivalRecord("a", api.Array, now.Add(time.Minute), 1))
	if a.ArrivedSince(api.Gang, now.Add(-time.Millisecond)) {
		t.Error("a gang that is not the newest arrival of its class is reported, want none")
	}
}
