package capacity

import (
	"iter"
	"maps"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/catalog"
	"violetturn/internal/job"
	"violetturn/internal/node"
)

// MinArrivalsPerClass is how many arrivals of a class are remembered at the least.
const MinArrivalsPerClass = 1024

// ArrivalWindowBoots is over how many boots arrivals are looked at.
const ArrivalWindowBoots = 4

// maxClasses bounds the classes whose arrivals are remembered: users may name classes at will.
const maxClasses = 64

// Arrival is a job that came.
type Arrival struct {
	AcceptedAt time.Time
	Spec       *api.Job
	Tasks      float64 // number of tasks
}

// Arrivals remembers the jobs that came lately, by class, the oldest first. Their number is
// bounded by what can come in the time that is looked at. The lock of internal/state guards it.
type Arrivals struct {
	node    *node.Info
	catalog *catalog.Catalog
	byClass map[string][]Arrival
}

func newArrivals(node *node.Info, catalog *catalog.Catalog) *Arrivals {
	return &Arrivals{node: node, catalog: catalog, byClass: map[string][]Arrival{}}
}

// Record remembers a job that came.
func (a *Arrivals) Record(record *job.Record) {
	class := record.Spec.Class
	if a.byClass[class] == nil && len(a.byClass) >= maxClasses {
		clear(a.byClass)
	}
	arrivals := append(a.byClass[class], Arrival{
		AcceptedAt: time.UnixMilli(record.AcceptedMS),
		Spec:       &record.Spec,
		Tasks:      float64(record.Spec.Tasks),
	})
	if len(arrivals) > a.maxPerClass() {
		arrivals = arrivals[1:]
	}
	a.byClass[class] = arrivals
}

// maxPerClass bounds the arrivals of a class that are remembered: each accepted job takes
// a change of the state service, so more can't come in the time that is looked at.
func (a *Arrivals) maxPerClass() int {
	window := ArrivalWindowBoots * a.catalog.ShortestBoot().Seconds()
	return max(MinArrivalsPerClass, int(a.node.Settings.Facts.State.WriteRPS*window))
}

// ByClass returns the classes and their arrivals, the oldest first.
func (a *Arrivals) ByClass() iter.Seq2[string, []Arrival] { return maps.All(a.byClass) }

// ArrivedSince reports whether the newest arrival of some class is a job of that kind and came
// after that time.
func (a *Arrivals) ArrivedSince(kind api.JobKind, since time.Time) bool {
	for _, arrivals := range a.byClass {
		if len(arrivals) == 0 {
			continue
		}
		if newest := arrivals[len(arrivals)-1]; newest.Spec.Kind == kind && newest.AcceptedAt.After(since) {
			return true
		}
	}
	return false
}
