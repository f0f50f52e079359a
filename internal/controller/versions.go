package controller

import (
	"errors"
	"maps"
	"strings"

	"violetturn/internal/config"
	"violetturn/internal/shard"
	"violetturn/internal/store"
)

// forms is the newest form of records that this version reads and writes. The version
// before it says nothing of forms and loses what it doesn't know when it rewrites a
// record, so all forms that it doesn't know are decided here: nothing else asks who
// may read what.
const forms = 2

// upgraded tells whether every configured controller, living or not, has shown that
// it reads this version's forms. Each leaves a mark that outlives it, so that one
// alone after the end of all still knows; one that shows itself without (somebody
// went back to the version before) counts as not upgraded whatever its mark says. Call
// with the lock held.
func (c *Controller) upgraded() bool {
	for _, x := range c.parts {
		m, n := c.replica.marks[x].v, c.replica.nodes[x].v
		if m == nil || m.V < forms || n != nil && n.V < forms {
			return false
		}
	}
	return c.loaded
}

// backward tells whether a node is of the version before although all had been
// upgraded: it would lose what it doesn't know, so nothing is handed to it. Call with
// the lock held.
func (c *Controller) backward(node string) bool {
	n := c.replica.nodes[node].v
	if n == nil || n.V >= forms {
		return false
	}
	for _, x := range c.parts {
		if m := c.replica.marks[x].v; m == nil || m.V < forms {
			return false
		}
	}
	return true
}

// limits are those within which records and transactions are made: those that hold
// whatever the state service's become. Records that the version before made larger
// are kept at their size while it may still write them, and divided afterwards. Call
// with the lock held.
func (c *Controller) limits() config.StateLimits {
	l := c.cfg.Lowest()
	if c.leastOps > 0 {
		l.TxnOps = min(l.TxnOps, c.leastOps)
	}
	return l
}

// slackBytes is what a value keeps free, for what its service may count beyond the
// JSON that is sent.
const slackBytes = 32

// mostBytes is how large the record of a job may be made. Call with the lock held.
func (c *Controller) mostBytes() int {
	l := c.cfg.Lowest()
	if !c.upgraded() && !c.limitsLowered {
		l = c.cfg.Facts.State.StateLimits
	}
	return int(l.ValueKB*1024) - slackBytes
}

// pageFor names the page of a machine to be written. The version before works the
// name out from today's limit. Call with the lock held.
func (c *Controller) pageFor(host string) string {
	const bytes = 160 // of one machine at most
	l := c.cfg.Facts.State.StateLimits
	if c.upgraded() || c.limitsLowered {
		l = c.cfg.Lowest()
	}
	if l.ValueKB*1024 >= 100*bytes {
		return pageID(host, coarse)
	}
	return pageID(host, 1)
}

// openPage gives a copy of a machine's page to be changed and guards what it rests
// on. A fine page that is new takes over what a coarser one has of its machines: from
// then on it alone counts for them. Call with the lock held.
func (c *Controller) openPage(t *txn, host string) (string, shard.Page) {
	id := c.pageFor(host)
	t.guard(pageKey+id, c.replica.pages[id].stamp)
	page := shard.Page{}
	if old := c.replica.pages[id].v; old != nil {
		maps.Copy(page, *old)
		return id, page
	}
	if id == pageID(host, coarse) {
		return id, page
	}
	if above := c.replica.pages[pageID(host, coarse)]; above.v != nil {
		t.guard(pageKey+pageID(host, coarse), above.stamp)
		for h, m := range *above.v {
			if pageID(h, 1) == id {
				page[h] = m
			}
		}
	}
	return id, page
}

// closePage writes a page, or drops an empty one, unless a coarser one would speak
// for its machines again. Call with the lock held.
func (c *Controller) closePage(t *txn, id string, page shard.Page) {
	if len(page) == 0 {
		hides := false
		if len(id) > 2 {
			key := id[:len(id)-2] + "-"
			if above := c.replica.pages[key]; above.v != nil && key != id {
				t.guard(pageKey+key, above.stamp)
				for h := range *above.v {
					hides = hides || pageID(h, 1) == id
				}
			}
		}
		if !hides {
			t.drop(pageKey + id)
			return
		}
	}
	t.write(pageKey+id, page)
}

// outdated adds to a transaction the drop of a page that says nothing more: a coarse
// one all of whose machines finer pages speak for, or an empty one that hid one. It
// tells whether there was one. Call with the lock held.
func (c *Controller) outdated(t *txn) bool {
	for id, p := range c.replica.pages {
		over := true
		for h := range *p.v {
			over = over && id == pageID(h, coarse) && c.replica.pages[pageID(h, 1)].v != nil
		}
		if len(*p.v) == 0 && len(id) > 2 {
			above := id[:len(id)-2] + "-"
			t.guard(pageKey+above, 0)
			over = c.replica.pages[above].v == nil
		}
		if over {
			t.guard(pageKey+id, p.stamp)
			t.drop(pageKey + id)
			return true
		}
		clear(t.guards)
	}
	return false
}

// tooLarge notes that the state service refused a transaction for its size or count:
// its limits have come down, further than was announced if it was made within those.
// Nothing is made as large again. It tells whether a smaller form is left to try.
func (c *Controller) tooLarge(err error, t *store.Txn) bool {
	if !errors.Is(err, store.ErrTooLarge) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limitsLowered {
		c.limitsLowered = true
		if s, ok := c.store.(interface{ Fallen() }); ok {
			s.Fallen()
		}
		c.log.Info("the state service's limits have come down")
		return true
	}
	// It was made within what was announced. Fewer changes are tried, down to what the
	// longest step needs, and the jobs in it are divided.
	c.leastOps = max(len(t.Ops)-1, 4)
	for _, op := range t.Ops {
		if uid, ok := strings.CutPrefix(op.Write, jobKey); ok && c.replica.jobs[uid] != nil {
			c.narrow[uid] = c.replica.jobs[uid].main.Gen + 1
		}
	}
	c.log.Error("the state service takes less than was announced", "changes", len(t.Ops), "err", err)
	return true
}
