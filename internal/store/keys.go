package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"violetturn/internal/httpwire"
)

// pageSize is how many keys one page of a list may hold.
const pageSize = 1000

// errorNoLease is the error text of a transaction that names a lease that has ended.
const errorNoLease = "no such lease"

// Get reads one key; found reports whether it exists.
func (c *Client) Get(ctx context.Context, key string, p Priority) (item Item, found bool, err error) {
	m, err := c.do(ctx, call{method: "GET", target: "/keys/" + key, priority: p})
	if err != nil {
		return item, false, fmt.Errorf("get %s: %w", key, err)
	}
	if m.Status == statusNotFound {
		return item, false, nil
	}
	if err := decode(m, &item); err != nil {
		return item, true, fmt.Errorf("get %s: %w", key, err)
	}
	return item, true, nil
}

// List reads all keys with a prefix. Its pages are of different revisions; revision is that of
// the first, from which a watch misses nothing.
func (c *Client) List(ctx context.Context, prefix string) (items []Item, revision uint64, err error) {
	since := ""
	for first := true; ; first = false {
		page, err := c.listPage(ctx, prefix, since)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if first {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.Truncated || len(page.Items) == 0 {
			return items, revision, nil
		}
		since = page.Items[len(page.Items)-1].Key
	}
}

// listPage reads one page of the keys with a prefix: those after since, or the first ones if it
// is "".
func (c *Client) listPage(ctx context.Context, prefix, since string) (page listPage, err error) {
	target := fmt.Sprintf("/keys?prefix=%s&limit=%d", url.QueryEscape(prefix), pageSize)
	if since != "" {
		target += "&since=" + url.QueryEscape(since)
	}
	m, err := c.do(ctx, call{method: "GET", target: target, priority: PriorityDecision})
	if err != nil {
		return page, err
	}
	return page, decode(m, &page)
}

// Changes waits up to block for changes after a revision to keys with a prefix. It returns
// them and the revision up to which they are complete. ErrChangesUnavailable means that they have to be
// read from a list instead.
func (c *Client) Changes(ctx context.Context, prefix string, since uint64, block time.Duration) ([]Change, uint64, error) {
	target := fmt.Sprintf("/changes?prefix=%s&since=%d&blockMs=%d", url.QueryEscape(prefix), since, block.Milliseconds())
	m, err := c.do(ctx, call{method: "GET", target: target, priority: PriorityDecision, blocks: block})
	switch {
	case errors.Is(err, httpwire.ErrTooLarge):
		// After a minute without the service a large fleet's changes can be more than a
		// controller may hold. Asked for again they would only have grown; all records
		// are read anew instead, in pages.
		return nil, 0, fmt.Errorf("changes of %s: %w: %w", prefix, ErrChangesUnavailable, err)
	case err != nil:
		return nil, 0, fmt.Errorf("changes of %s: %w", prefix, err)
	case m.Status == statusGone:
		return nil, 0, fmt.Errorf("changes of %s: %w", prefix, ErrChangesUnavailable)
	}
	var page changesPage
	if err := decode(m, &page); err != nil {
		return nil, 0, fmt.Errorf("changes of %s: %w", prefix, err)
	}
	return page.Changes, page.Revision, nil
}

// Commit has the service judge a transaction. Preconditions that do not hold are an outcome, not
// an error.
func (c *Client) Commit(ctx context.Context, t *Txn, p Priority) (CommitResult, error) {
	m, err := c.do(ctx, call{method: "POST", target: "/multi", body: t, writes: len(t.Ops), priority: p})
	if err != nil {
		return CommitResult{}, fmt.Errorf("commit: %w", err)
	}
	var answer commitAnswer
	if err := json.Unmarshal(m.Body, &answer); err != nil {
		return CommitResult{}, fmt.Errorf("commit: decode: %w", err)
	}
	switch m.Status {
	case statusOK:
		return CommitResult{Committed: true, Revision: answer.Revision}, nil
	case statusConflict:
		return CommitResult{Revision: answer.Revision, Conflicts: answer.Conflicts}, nil
	case statusBadRequest, statusContentTooLarge:
		if m.Status == statusBadRequest && answer.Error == errorNoLease {
			return CommitResult{}, fmt.Errorf("commit: %w", ErrLeaseEnded)
		}
		return CommitResult{}, fmt.Errorf("commit: %w: %s", ErrTooLarge, errorText(m.Body)) // nothing we send is malformed otherwise
	}
	return CommitResult{}, fmt.Errorf("commit: %w", &StatusError{Status: m.Status, Body: errorText(m.Body)})
}
