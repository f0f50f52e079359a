package cloud

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pagedList is a list of machines that grows and shrinks between pages and sometimes
// does not answer.
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
	from, found := slices.BinarySearch(p.names, since)
	if found {
		from++
	}
	rest := p.names[from:]
	page := rest[:min(len(rest), MaxMachinesPerPage)]
	hosts := []Machine{}
	for _, name := range page {
		hosts = append(hosts, Machine{UID: name})
	}
	return hosts, len(rest) > len(page), nil
}

// A listing read a few pages at a time, with failures and changes in between, names every
// machine that was there all along, none twice, and none that was gone before it began.
func TestListingInSteps(t *testing.T) {
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
		stays := map[string]bool{}
		for _, name := range source.names {
			stays[name] = true
		}
		before := source.pages
		var listing Listing
		now := time.Unix(0, 0)
		for step := 0; ; step++ {
			if step > 200 {
				t.Fatal("the listing never ends")
			}
			source.failing = step < 150 && rapid.IntRange(0, 3).Draw(t, "fails") == 0
			most := rapid.IntRange(1, 3).Draw(t, "pages")
			was := source.pages
			hosts, complete, err := listing.Read(context.Background(), source, now, most)
			if (err != nil) != source.failing || source.pages-was > most {
				t.Fatalf("%d pages of %d at once, %v", source.pages-was, most, err)
			}
			if complete {
				checkListing(t, hosts, stays, created)
				break
			}
			create(rapid.IntRange(0, 20).Draw(t, "created"))
			if n := len(source.names); n > 0 {
				terminated := rapid.IntRange(0, n-1).Draw(t, "gone")
				delete(stays, source.names[terminated])
				source.names = slices.Delete(source.names, terminated, terminated+1)
			}
		}
		if need := (len(stays) + MaxMachinesPerPage - 1) / MaxMachinesPerPage; source.pages-before < need {
			t.Fatalf("%d pages for %d machines", source.pages-before, len(stays))
		}
	})
}

func checkListing(t *rapid.T, hosts []Machine, stays map[string]bool, created int) {
	listed := map[string]bool{}
	for _, h := range hosts {
		if listed[h.UID] {
			t.Fatalf("%s is listed twice", h.UID)
		}
		listed[h.UID] = true
	}
	for name := range stays {
		if !listed[name] {
			t.Fatalf("%s was there all along and is not listed; %d were created", name, created)
		}
	}
}
