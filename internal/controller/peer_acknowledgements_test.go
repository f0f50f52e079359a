package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"violetturn/internal/peer"
	"violetturn/internal/statecache"
)

// A controller acknowledges to its peers the cancellations that it has confirmed after a revision.
// It must not mark its acknowledgement as complete if there may be cancellations that it can't list:
// those before its start and those that it has already removed from its list. It leaves out those
// that the peer has read.
func TestPeerAcknowledgements(t *testing.T) {
	s := newReadyCluster()
	id := s.submitService(2, nil)
	s.runFor(30)
	before := s.nodes[1].state().Cache.Revision
	s.cancel(1, id)
	checkOwnAcknowledgements(t, s.nodes[1].controller, before, id)
	s.startNode(1)
	s.checkAcknowledgementsAfterRestart(t, before)
	checkAcknowledgedUntil(t, s.nodes[0].controller)
}

// checkOwnAcknowledgements checks that a controller acknowledges a cancellation that it confirmed
// after the revision before, and leaves it out for a peer that has read it. It then fills the
// controller's list of cancellations, so that the acknowledgement is no longer complete.
func checkOwnAcknowledgements(t *testing.T, c *Controller, before uint64, cancelled string) {
	t.Helper()
	if ack := c.testState().Leadership.Acknowledgement(before); !ack.GetComplete() || !slices.Contains(ack.GetCancelled(), cancelled) {
		t.Errorf("acknowledgement after a cancellation of %s: got %v, want it complete and with that job", cancelled, ack)
	}
	if err := c.sync.RefreshCache(context.Background()); err != nil {
		t.Fatal(err)
	}
	if ack := c.testState().Leadership.Acknowledgement(c.testState().Cache.Revision); !ack.GetComplete() || len(ack.GetCancelled()) > 0 {
		t.Errorf("acknowledgement to a peer that has read the cancellation: got %v, want it complete and empty", ack)
	}
	for i := range statecache.MaxCancellations {
		c.testState().Cache.RecordCancellation("run-9", c.testState().Cache.Revision+uint64(i)+1)
	}
	if c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("acknowledgement after some cancellations were removed: got complete, want incomplete")
	}
}

// checkAcknowledgementsAfterRestart checks that the second controller, which has just restarted,
// sends no complete acknowledgement for the time before its restart.
func (s *testCluster) checkAcknowledgementsAfterRestart(t *testing.T, before uint64) {
	t.Helper()
	c := s.nodes[1].controller
	if c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("acknowledgement before the cache is loaded: got complete, want incomplete")
	}
	s.runFor(4)
	if c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("acknowledgement for a revision before the restart: got complete, want incomplete")
	}
	if !c.testState().Leadership.Acknowledgement(c.testState().Cache.Revision).GetComplete() {
		t.Error("acknowledgement for the current revision: got incomplete, want complete")
	}
}

// checkAcknowledgedUntil checks that a leader's acknowledged time is that of the oldest of its peers'
// responses. A response without an acknowledgement, from a version that does not support it, or
// with an incomplete one counts as no response.
func checkAcknowledgedUntil(t *testing.T, c *Controller) {
	t.Helper()
	now := c.node.Now()
	c.testState().Leadership.RecordAcknowledgement("n1", &peer.Acknowledgement{Complete: true}, now)
	if !c.testState().Leadership.AcknowledgedByAllUntil().IsZero() {
		t.Error("acknowledged time after the response of one peer of two: got a time, want none")
	}
	c.testState().Leadership.RecordAcknowledgement("n2", &peer.Acknowledgement{Complete: true}, now.Add(-time.Second))
	c.testState().Leadership.RecordAcknowledgement("n2", nil, now)
	c.testState().Leadership.RecordAcknowledgement("n2", &peer.Acknowledgement{}, now)
	if got := c.testState().Leadership.AcknowledgedByAllUntil(); !got.Equal(now.Add(-time.Second)) {
		t.Errorf("acknowledged time: got %v, want that of the oldest response, %v", got, now.Add(-time.Second))
	}
	c.node.Settings.Facts.ControllerCount = 4
	if !c.testState().Leadership.AcknowledgedByAllUntil().IsZero() {
		t.Error("acknowledged time with a controller that can't be queried: got a time, want none")
	}
	productionReply := &peer.Reply{StoreReached: true, Status: 404}
	if productionReply.GetAcknowledgement().GetComplete() {
		t.Error("acknowledgement in a reply of the version in production: got complete, want incomplete")
	}
}
