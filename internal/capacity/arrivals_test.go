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

func testArrivals(t *testing.T) *Arrivals {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	info := node.New(settings, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	return newArrivals(info, catalog.New(info))
}

func arrival(class string, kind api.JobKind, at time.Time, tasks int) *job.Record {
	return &job.Record{Spec: api.Job{Class: class, Kind: kind, Tasks: tasks}, AcceptedMS: at.UnixMilli()}
}

// The newest arrivals of a class are remembered, the oldest first.
func TestArrivalsOfAClassAreBounded(t *testing.T) {
	a := testArrivals(t)
	now := time.Unix(1_800_000_000, 0)
	const more = 3
	for i := range MinArrivalsPerClass + more {
		a.Record(arrival("a", api.Array, now.Add(time.Duration(i)*time.Second), i))
	}
	for class, arrivals := range a.ByClass() {
		if class != "a" || len(arrivals) != MinArrivalsPerClass {
			t.Fatalf("%d arrivals of %s", len(arrivals), class)
		}
		oldest, newest := arrivals[0], arrivals[MinArrivalsPerClass-1]
		if oldest.Tasks != more || newest.Tasks != MinArrivalsPerClass+more-1 || !oldest.AcceptedAt.Equal(now.Add(more*time.Second)) {
			t.Errorf("from %+v to %+v", oldest, newest)
		}
	}
}

// Users may name classes at will: not more than some are remembered.
func TestClassesOfArrivalsAreBounded(t *testing.T) {
	a := testArrivals(t)
	for i := range 10 * maxClasses {
		a.Record(arrival(fmt.Sprint(i), api.Array, time.Unix(1_800_000_000, 0), 1))
		if len(a.byClass) > maxClasses {
			t.Fatalf("%d classes are remembered", len(a.byClass))
		}
	}
}

// Only the newest arrival of each class counts, and its age to the moment.
func TestCameSince(t *testing.T) {
	a := testArrivals(t)
	now := time.Unix(1_800_000_000, 0)
	if a.ArrivedSince(api.Gang, now) {
		t.Error("a gang came though none did")
	}
	a.Record(arrival("a", api.Gang, now, 1))
	a.Record(arrival("b", api.Array, now.Add(time.Minute), 1))
	if !a.ArrivedSince(api.Gang, now.Add(-time.Millisecond)) {
		t.Error("the gang did not come")
	}
	if a.ArrivedSince(api.Gang, now) {
		t.Error("the gang came after its time")
	}
	a.Record(arrival("a", api.Array, now.Add(time.Minute), 1))
	if a.ArrivedSince(api.Gang, now.Add(-time.Millisecond)) {
		t.Error("a gang that is not the newest of its class counts")
	}
}
