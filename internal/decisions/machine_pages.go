package decisions

import (
	"violetturn/internal/api"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
)

// pageEdits collects edits of machine pages for one transaction.
type pageEdits struct {
	schema         *schema.State
	transaction    *statecache.Transaction
	pages          map[string]shard.MachinePage // changed pages by ID
	bytes          int                          // total size of the pages, each as it was when it was added
	maxBytesToOpen int                          // no second or further page is opened if bytes is larger
}

// newPageEdits returns a pageEdits without edits.
func newPageEdits(s *state.State, info *node.Info) *pageEdits {
	return &pageEdits{
		schema:         s.Schema,
		transaction:    statecache.NewTransaction(),
		pages:          map[string]shard.MachinePage{},
		maxBytesToOpen: statecache.MaxTransactionBytes - int(info.Settings.Facts.State.ValueKB*1024),
	}
}

// openPage returns the page of a machine for editing. It returns false if the transaction has no
// space for another page.
func (e *pageEdits) openPage(host string) (page shard.MachinePage, ok bool) {
	if page, ok = e.pages[e.schema.PageIDFor(host)]; ok {
		return page, true
	}
	if len(e.pages) >= e.schema.MaxWrites() || len(e.pages) > 0 && e.bytes > e.maxBytesToOpen {
		return nil, false
	}
	return e.schema.CopyPage(host), true
}

// add adds the page of a machine to the changed pages. Only these have preconditions, whose number is
// limited by that of the writes.
func (e *pageEdits) add(host string, page shard.MachinePage) {
	id := e.schema.PageIDFor(host)
	if _, added := e.pages[id]; !added {
		e.pages[id] = page
		e.schema.RequirePage(e.transaction, host)
		e.bytes += len(api.MustMarshal(page))
	}
}
