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

// minArrivalLimit is the lower bound of the limit on the number of arrivals kept per class.
const minArrivalLimit = 1024

// ArrivalWindowBoots is the number of boot times during which an arrival counts as recent.
const ArrivalWindowBoots = 4

// maxClasses bounds the number of classes whose arrivals are recorded, because users can name
// classes freely. An arrival of a class beyond it replaces all recorded arrivals.
const maxClasses = 64

// Arrival is an accepted job.
type Arrival struct {
	AcceptedAt time.Time
	Spec       *api.Job
	Tasks      float64 // number of tasks
}

// Arrivals records recently accepted jobs by class, oldest first. The number of entries per class
// is limited to the number of jobs that can be accepted within ArrivalWindowBoots boot times, but
// at least minArrivalLimit. The lock of internal/state guards it.
type Arrivals struct {
	node    *node.Info
	catalog *catalog.Catalog
	byClass map[string][]Arrival
}

func newArrivals(node *node.Info, catalog *catalog.Catalog) *Arrivals {
	return &Arrivals{node: node, catalog: catalog, byClass: map[string][]Arrival{}}
}

// Record adds an accepted job.
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

// maxPerClass returns the maximum number of arrivals to keep per class. Each accepted job is a
// write to the state service, so its write rate bounds the number of jobs that are accepted within
// ArrivalWindowBoots boot times.
func (a *Arrivals) maxPerClass() int {
	window := ArrivalWindowBoots * a.catalog.ShortestBoot().Seconds()
	return max(minArrivalLimit, int(a.node.Settings.Facts.State.WriteRPS*window))
}

// ByClass iterates over the classes and their arrivals, oldest first.
func (a *Arrivals) ByClass() iter.Seq2[string, []Arrival] { return maps.All(a.byClass) }

// ArrivedSince reports whether, in any class, the newest arrival is a job of the given kind that
// was accepted after since.
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
