package controller

import (
	"errors"
	"maps"
	"strings"

	"violetturn/internal/config"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// schemaVersion is the newest form of records that this version reads and writes. The version
// before it says nothing of forms and loses what it doesn't know when it rewrites a
// record, so all forms that it doesn't know are decided here: nothing else asks who
// may read what.
const schemaVersion = 2

// upgraded reports whether every configured controller, living or not, has shown that
// it reads this version's forms. Each leaves a mark that outlives it, so that one
// alone after the end of all still knows; one that shows itself without (somebody
// went back to the version before) counts as not upgraded whatever its mark says.
func (s *schemaState) upgraded() bool {
	for _, x := range s.node.shards {
		m, n := s.cache.capabilities[x].record, s.cache.nodes[x].record
		if m == nil || m.SchemaVersion < schemaVersion || n != nil && n.SchemaVersion < schemaVersion {
			return false
		}
	}
	return s.cache.loaded
}

// isDowngraded reports whether a node is of the version before although all had been
// upgraded: it would lose what it doesn't know, so nothing is handed to it.
func (s *schemaState) isDowngraded(node string) bool {
	n := s.cache.nodes[node].record
	if n == nil || n.SchemaVersion >= schemaVersion {
		return false
	}
	for _, x := range s.node.shards {
		if m := s.cache.capabilities[x].record; m == nil || m.SchemaVersion < schemaVersion {
			return false
		}
	}
	return true
}

// transactionLimits are those within which records and transactions are made: those that hold
// whatever the state service's become. Records that the version before made larger
// are kept at their size while it may still write them, and divided afterwards.
func (s *schemaState) transactionLimits() config.StateLimits {
	l := s.node.settings.LowestLimits()
	if s.acceptedTxnOps > 0 {
		l.TxnOps = min(l.TxnOps, s.acceptedTxnOps)
	}
	return l
}

// valueSlackBytes is what a value keeps free, for what its service may count beyond the
// JSON that is sent.
const valueSlackBytes = 32

// maxRecordBytes is how large the record of a job may be made.
func (s *schemaState) maxRecordBytes() int {
	l := s.node.settings.LowestLimits()
	if !s.upgraded() && !s.limitsLowered {
		l = s.node.settings.Facts.State.StateLimits
	}
	return int(l.ValueKB*1024) - valueSlackBytes
}

// pageFor names the page of a machine to be written. The version before works the
// name out from today's limit.
func (s *schemaState) pageFor(host string) string {
	const bytes = 160 // of one machine at most
	l := s.node.settings.Facts.State.StateLimits
	if s.upgraded() || s.limitsLowered {
		l = s.node.settings.LowestLimits()
	}
	if l.ValueKB*1024 >= 100*bytes {
		return pageID(host, coarsestPageCut)
	}
	return pageID(host, 1)
}

// openPage returns a copy of a machine's page to be changed and makes the write conditional on what it rests
// on. A fine page that is new takes over what a coarser one has of its machines: from
// then on it alone counts for them.
func (s *schemaState) openPage(t *transaction, host string) (string, shard.Page) {
	id := s.pageFor(host)
	t.require(machinePagePrefix+id, s.cache.pages[id].version)
	page := shard.Page{}
	if old := s.cache.pages[id].record; old != nil {
		maps.Copy(page, *old)
		return id, page
	}
	if id == pageID(host, coarsestPageCut) {
		return id, page
	}
	if above := s.cache.pages[pageID(host, coarsestPageCut)]; above.record != nil {
		t.require(machinePagePrefix+pageID(host, coarsestPageCut), above.version)
		for h, m := range *above.record {
			if pageID(h, 1) == id {
				page[h] = m
			}
		}
	}
	return id, page
}

// closePage writes a page, or drops an empty one, unless a coarser one would speak
// for its machines again.
func (s *schemaState) closePage(t *transaction, id string, page shard.Page) {
	if len(page) == 0 {
		hides := false
		if len(id) > 2 {
			key := id[:len(id)-2] + "-"
			if above := s.cache.pages[key]; above.record != nil && key != id {
				t.require(machinePagePrefix+key, above.version)
				for h := range *above.record {
					hides = hides || pageID(h, 1) == id
				}
			}
		}
		if !hides {
			t.delete(machinePagePrefix + id)
			return
		}
	}
	t.put(machinePagePrefix+id, page)
}

// deleteObsoletePage adds to a transaction the drop of a page that says nothing more: a coarse
// one all of whose machines finer pages speak for, or an empty one that hid one. It
// tells whether there was one.
func (s *schemaState) deleteObsoletePage(t *transaction) bool {
	for id, p := range s.cache.pages {
		over := true
		for h := range *p.record {
			over = over && id == pageID(h, coarsestPageCut) && s.cache.pages[pageID(h, 1)].record != nil
		}
		if len(*p.record) == 0 && len(id) > 2 {
			above := id[:len(id)-2] + "-"
			t.require(machinePagePrefix+above, 0)
			over = s.cache.pages[above].record == nil
		}
		if over {
			t.require(machinePagePrefix+id, p.version)
			t.delete(machinePagePrefix + id)
			return true
		}
		clear(t.preconditions)
	}
	return false
}

// noteTooLarge notes that the state service refused a transaction for its size or count:
// its limits have come down, further than was announced if it was made within those.
// Nothing is made as large again. It reports whether a smaller form is left to try.
func (c *Controller) noteTooLarge(err error, t *store.Txn) bool {
	if !errors.Is(err, store.ErrTooLarge) {
		return false
	}
	state := c.guard.Lock()
	defer c.guard.Unlock()
	if !state.schema.limitsLowered {
		state.schema.limitsLowered = true
		c.store.LowerLimits()
		c.node.log.Info("state service limits lowered")
		return true
	}
	// It was made within what was announced. Fewer changes are tried, down to what the
	// longest step needs, and the jobs in it are divided.
	state.schema.acceptedTxnOps = max(len(t.Ops)-1, 4)
	for _, op := range t.Ops {
		if uid, ok := strings.CutPrefix(op.Write, jobPrefix); ok && state.cache.jobs[uid] != nil {
			state.schema.splitRequests[uid] = state.cache.jobs[uid].record.Generation + 1
		}
	}
	c.node.log.Error("state service accepts less than announced", "changes", len(t.Ops), "err", err)
	return true
}
