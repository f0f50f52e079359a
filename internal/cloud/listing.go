package cloud

import (
	"context"
	"time"
)

// MaxMachinesPerPage is the most machines in one page of the list.
const MaxMachinesPerPage = 500

// pageReader reads one page of the list of rented machines. Client implements it.
type pageReader interface {
	ListPage(ctx context.Context, since string) (machines []Machine, truncated bool, err error)
}

// Listing reads the list of rented machines a few pages at a time. The eight pages of 4,000
// machines take more calls than a controller's rate share allows in one autoscaler run: reading
// them all at once would delay rentals and returns by seconds.
//
// The cloud lists machines in the order of their creation. A machine that is created during a
// listing is therefore on a later page, or missing as it would be from a list that was read at
// once. Conclusions from the absence of a machine are valid as of StartedAt.
//
// The zero value is a listing that has not started. It is not safe for concurrent use.
type Listing struct {
	// StartedAt is the time at which the current listing read its first page.
	StartedAt time.Time

	machines []Machine // the machines read so far
	lastUID  string    // UID of the last machine read
	active   bool      // the listing has started and is not complete
}

// Active reports whether the listing has started and is not complete.
func (l *Listing) Active() bool { return l.active }

// Read reads up to maxPages pages, at least one. complete reports whether the last page has been
// read; machines is then the whole list, otherwise nil. After an error the next call reads the same
// page again.
func (l *Listing) Read(ctx context.Context, reader pageReader, now time.Time, maxPages int) (machines []Machine, complete bool, err error) {
	if !l.active {
		*l = Listing{StartedAt: now, active: true}
	}
	for range max(maxPages, 1) {
		page, truncated, err := reader.ListPage(ctx, l.lastUID)
		if err != nil {
			return nil, false, err
		}
		l.machines = append(l.machines, page...)
		if !truncated || len(page) == 0 {
			l.active = false
			return l.machines, true, nil
		}
		l.lastUID = page[len(page)-1].UID
	}
	return nil, false, nil
}

// Abandon discards the pages read so far, for example because they are too old.
func (l *Listing) Abandon() { *l = Listing{} }
