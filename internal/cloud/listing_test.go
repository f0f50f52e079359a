package cloud

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pagedList is a pageReader over a list of machine names. The test changes the list between reads
// and makes some reads fail.
type pagedList struct {
	names   []string
	failing bool
	pages   int
}

func (p *pagedList) ListPage(_ context.Context, since string) ([]Machine, bool, error) {
	if p.failing {
		return nil, false, ErrUnavailable
	}
	p.pages++
	start, found := slices.BinarySearch(p.names, since)
	if found {
		start++
	}
	remaining := p.names[start:]
	page := remaining[:min(len(remaining), MaxMachinesPerPage)]
	machines := []Machine{}
	for _, name := range page {
		machines = append(machines, Machine{UID: name})
	}
	return machines, len(remaining) > len(page), nil
}

// A listing that is read a few pages at a time, with failures and changes in between, contains
// every machine that existed during the whole listing, and none twice.
func TestListingAcrossChangesAndFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := &pagedList{}
		created := 0
		create := func(n int) {
			for range n {
				source.names = append(source.names, fmt.Sprintf("i-%06d", created))
				created++
			}
		}
		create(rapid.IntRange(0, 4500).Draw(t, "machines"))
		remaining := map[string]bool{}
		for _, name := range source.names {
			remaining[name] = true
		}
		initialPages := source.pages
		var listing Listing
		now := time.Unix(0, 0)
		for step := 0; ; step++ {
			if step > 200 {
				t.Fatalf("listing not complete after %d steps, want at most 200", step)
			}
			source.failing = step < 150 && rapid.IntRange(0, 3).Draw(t, "fails") == 0
			maxPages := rapid.IntRange(1, 3).Draw(t, "pages")
			pagesBefore := source.pages
			machines, complete, err := listing.Read(context.Background(), source, now, maxPages)
			if (err != nil) != source.failing || source.pages-pagesBefore > maxPages {
				t.Fatalf("read %d pages, error %v; want at most %d, error: %t", source.pages-pagesBefore, err, maxPages, source.failing)
			}
			if complete {
				checkListing(t, machines, remaining, created)
				break
			}
			create(rapid.IntRange(0, 20).Draw(t, "created"))
			if n := len(source.names); n > 0 {
				terminated := rapid.IntRange(0, n-1).Draw(t, "gone")
				delete(remaining, source.names[terminated])
				source.names = slices.Delete(source.names, terminated, terminated+1)
			}
		}
		if minPages := (len(remaining) + MaxMachinesPerPage - 1) / MaxMachinesPerPage; source.pages-initialPages < minPages {
			t.Fatalf("read %d pages for %d machines, want at least %d", source.pages-initialPages, len(remaining), minPages)
		}
	})
}

// checkListing checks that the listing has all remaining machines and none twice.
func checkListing(t *rapid.T, machines []Machine, remaining map[string]bool, created int) {
	listed := map[string]bool{}
	for _, machine := range machines {
		if listed[machine.UID] {
			t.Fatalf("machine %s is listed twice", machine.UID)
		}
		listed[machine.UID] = true
	}
	for name := range remaining {
		if !listed[name] {
			t.Fatalf("machine %s existed during the whole listing and is not listed; %d machines were created", name, created)
		}
	}
}
