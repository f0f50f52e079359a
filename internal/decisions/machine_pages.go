package decisions

import (
	"violetturn/internal/api"
	"violetturn/internal/node"
	"violetturn/internal/schema"
	"violetturn/internal/shard"
	"violetturn/internal/state"
	"violetturn/internal/statecache"
)

// maxPagesBytes bounds the machines' pages in a transaction, of the 64 KiB that PROTOCOL allows
// for all of it: the rest is for keys, preconditions and the JSON around them.
const maxPagesBytes = 48 << 10

// pageEdits collects changes of machines' pages for one transaction.
type pageEdits struct {
	schema      *schema.State
	transaction *statecache.Transaction
	pages       map[string]shard.MachinePage // those that are changed, by ID
	bytes       int                          // of the pages, as they were when they were kept
	maxBytes    int                          // with which one more page is opened
}

// newPageEdits returns edits without changes.
func newPageEdits(s *state.State, info *node.Info) *pageEdits {
	return &pageEdits{
		schema:      s.Schema,
		transaction: statecache.NewTransaction(),
		pages:       map[string]shard.MachinePage{},
		maxBytes:    maxPagesBytes - int(info.Settings.Facts.State.ValueKB*1024),
	}
}

// page returns a machine's page to be changed, or false if the transaction takes no other page.
func (e *pageEdits) page(host string) (page shard.MachinePage, ok bool) {
	if page, ok = e.pages[e.schema.PageIDFor(host)]; ok {
		return page, true
	}
	if len(e.pages) >= e.schema.MaxChanges() || e.bytes > e.maxBytes {
		return nil, false
	}
	_, page = e.schema.EditPage(e.transaction, host)
	return page, true
}

// keep has a machine's page written with the others.
func (e *pageEdits) keep(host string, page shard.MachinePage) {
	id := e.schema.PageIDFor(host)
	if _, kept := e.pages[id]; !kept {
		e.pages[id] = page
		e.bytes += len(api.JSON(page))
	}
}
