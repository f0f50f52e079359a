package cloud

import (
	"context"
	"time"
)

// MaxMachinesPerPage is the most machines that one page of the list holds.
const MaxMachinesPerPage = 500

// pageReader reads one page of the list of rented machines; Client is one.
type pageReader interface {
	ListPage(ctx context.Context, since string) (hosts []Machine, truncated bool, err error)
}

// Listing reads the list of rented machines a few pages at a time. Eight pages, which
// 4,000 machines take, cost more calls than a controller may make in a round: read in one
// go they would keep rentals and returns waiting for seconds.
//
// Machines are listed in the order in which they were created, so one that appears while
// a listing is under way is on a later page or misses it as it would have missed a list
// read at once. Whoever judges by the absence of a machine counts from Began.
//
// The zero value has read nothing. It is not safe for use by several goroutines at once.
type Listing struct {
	// StartedAt is when the listing under way read its first page.
	StartedAt time.Time

	hosts  []Machine // those read so far
	since  string    // name of the last of them
	active bool      // some pages have been read and some not
}

// Active reports whether some pages have been read and some not.
func (l *Listing) Active() bool { return l.active }

// Read reads up to so many pages, one at least. complete reports whether the last one has been
// read; hosts is then the whole list, else nil. After an error the next call reads the same
// page again.
func (l *Listing) Read(ctx context.Context, from pageReader, now time.Time, pages int) (hosts []Machine, complete bool, err error) {
	if !l.active {
		*l = Listing{StartedAt: now, active: true}
	}
	for range max(pages, 1) {
		page, truncated, err := from.ListPage(ctx, l.since)
		if err != nil {
			return nil, false, err
		}
		l.hosts = append(l.hosts, page...)
		if !truncated || len(page) == 0 {
			l.active = false
			return l.hosts, true, nil
		}
		l.since = page[len(page)-1].UID
	}
	return nil, false, nil
}

// Abandon drops the pages read so far, for when they have become too old.
func (l *Listing) Abandon() { *l = Listing{} }
