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

// pageSize is the number of keys requested per page of a list.
const pageSize = 1000

// maxWatchBlock is the longest time for which the service delays the response to a watch request
// (PROTOCOL). It refuses a request for more as malformed.
const maxWatchBlock = 60 * time.Second

// noLeaseText is the service's error text for a transaction that names a lease that has ended.
const noLeaseText = "no such lease"

// Get reads one key; found reports whether it exists.
func (c *Client) Get(ctx context.Context, key string, p Priority) (item Item, found bool, err error) {
	m, err := c.send(ctx, request{method: "GET", target: "/keys/" + key, priority: p})
	if err != nil {
		return item, false, fmt.Errorf("get %s: %w", key, err)
	}
	if m.Status == statusNotFound {
		return item, false, nil
	}
	if err := decodeResponse(m, &item); err != nil {
		return item, true, fmt.Errorf("get %s: %w", key, err)
	}
	return item, true, nil
}

// List reads all keys with a prefix. Its pages may be of different revisions; revision is that of
// the first page, so a watch that starts there reports all later changes.
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

// listPage reads one page of the keys with a prefix, starting after the key since, or at the first
// key if since is "".
func (c *Client) listPage(ctx context.Context, prefix, since string) (page listPage, err error) {
	target := fmt.Sprintf("/keys?prefix=%s&limit=%d", url.QueryEscape(prefix), pageSize)
	if since != "" {
		target += "&since=" + url.QueryEscape(since)
	}
	m, err := c.send(ctx, request{method: "GET", target: target, priority: PriorityDecision})
	if err != nil {
		return page, err
	}
	return page, decodeResponse(m, &page)
}

// Changes waits up to maxBlock, and at most maxWatchBlock, for changes after a revision to keys with
// a prefix. It returns them and the revision up to which they are complete. After
// ErrChangesUnavailable the caller must list the keys instead.
func (c *Client) Changes(ctx context.Context, prefix string, since uint64, maxBlock time.Duration) ([]Change, uint64, error) {
	maxBlock = min(maxBlock, maxWatchBlock)
	target := fmt.Sprintf("/changes?prefix=%s&since=%d&blockMs=%d", url.QueryEscape(prefix), since, maxBlock.Milliseconds())
	m, err := c.send(ctx, request{method: "GET", target: target, priority: PriorityDecision, maxBlock: maxBlock})
	switch {
	case errors.Is(err, httpwire.ErrTooLarge):
		// After an outage of a minute, the changes of a large fleet can exceed the size limit of
		// a response. A retry would return even more of them, so the caller lists all records in
		// pages instead.
		return nil, 0, fmt.Errorf("changes of %s: %w: %w", prefix, ErrChangesUnavailable, err)
	case err != nil:
		return nil, 0, fmt.Errorf("changes of %s: %w", prefix, err)
	case m.Status == statusGone:
		return nil, 0, fmt.Errorf("changes of %s: %w", prefix, ErrChangesUnavailable)
	}
	var page changesPage
	if err := decodeResponse(m, &page); err != nil {
		return nil, 0, fmt.Errorf("changes of %s: %w", prefix, err)
	}
	return page.Changes, page.Revision, nil
}

// Commit sends a transaction to the service. Preconditions that do not hold are reported in the
// result, not as an error.
func (c *Client) Commit(ctx context.Context, t *Txn, p Priority) (CommitResult, error) {
	m, err := c.send(ctx, request{method: "POST", target: "/multi", body: t, writeCount: len(t.Writes), priority: p})
	if err != nil {
		return CommitResult{}, fmt.Errorf("commit: %w", err)
	}
	var response commitResponse
	if err := json.Unmarshal(m.Body, &response); err != nil {
		return CommitResult{}, fmt.Errorf("commit: decode response: %w", err)
	}
	switch m.Status {
	case statusOK:
		return CommitResult{Committed: true, Revision: response.Revision}, nil
	case statusConflict:
		return CommitResult{Revision: response.Revision, Conflicts: response.Conflicts}, nil
	case statusBadRequest, statusContentTooLarge:
		if m.Status == statusBadRequest && response.Error == noLeaseText {
			return CommitResult{}, fmt.Errorf("commit: %w", ErrLeaseEnded)
		}
		// Apart from its lease, only the size of a transaction can be invalid.
		return CommitResult{}, fmt.Errorf("commit: %w: %s", ErrTooLarge, bodyExcerpt(m.Body))
	}
	return CommitResult{}, fmt.Errorf("commit: %w", &StatusError{Status: m.Status, Body: bodyExcerpt(m.Body)})
}
