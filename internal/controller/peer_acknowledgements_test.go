package controller

import (
	"context"
	"slices"
	"testing"
	"time"

	"violetturn/internal/peer"
	"violetturn/internal/statecache"
)

// What a controller acknowledges holds for nothing that it may have done before it could
// tell: right after its start, beyond what it keeps, or asked by one who has read more.
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

// checkOwnAcknowledgements checks what a controller tells of a cancellation that it confirmed
// after a revision.
func checkOwnAcknowledgements(t *testing.T, c *Controller, before uint64, cancelled string) {
	t.Helper()
	if v := c.testState().Leadership.Acknowledgement(before); !v.GetComplete() || !slices.Contains(v.GetCancelled(), cancelled) {
		t.Errorf("what it confirmed is not told: %v", v)
	}
	if err := c.sync.RefreshCache(context.Background()); err != nil {
		t.Fatal(err)
	}
	if v := c.testState().Leadership.Acknowledgement(c.testState().Cache.Revision); !v.GetComplete() || len(v.GetCancelled()) > 0 {
		t.Errorf("told what the asker has read: %v", v)
	}
	for i := range statecache.MaxCancellations {
		c.testState().Cache.RecordCancellation("run-9", c.testState().Cache.Revision+uint64(i)+1)
	}
	if c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("it says that it told all, and has dropped some")
	}
}

// checkAcknowledgementsAfterRestart checks that the second controller, which has just
// restarted, acknowledges nothing of its earlier life.
func (s *testCluster) checkAcknowledgementsAfterRestart(t *testing.T, before uint64) {
	t.Helper()
	c := s.nodes[1].controller
	if c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("it acknowledges before it has read what there is")
	}
	s.runFor(4)
	if c.testState().Leadership.Acknowledgement(before).GetComplete() {
		t.Error("it acknowledges what it did in its earlier life")
	}
	if !c.testState().Leadership.Acknowledgement(c.testState().Cache.Revision).GetComplete() {
		t.Error("it never acknowledges again")
	}
}

// checkAcknowledgedUntil checks that a leader's time counts from the oldest of all its peers'
// responses, and that one that does not know the question, or can't say, is as good as
// silent.
func checkAcknowledgedUntil(t *testing.T, c *Controller) {
	t.Helper()
	now := c.node.Now()
	c.testState().Leadership.RecordAcknowledgement("n1", &peer.Acknowledgement{Complete: true}, now)
	if !c.testState().Leadership.AcknowledgedByAllUntil().IsZero() {
		t.Error("one peer of two acknowledges for both")
	}
	c.testState().Leadership.RecordAcknowledgement("n2", &peer.Acknowledgement{Complete: true}, now.Add(-time.Second))
	c.testState().Leadership.RecordAcknowledgement("n2", nil, now)
	c.testState().Leadership.RecordAcknowledgement("n2", &peer.Acknowledgement{}, now)
	if got := c.testState().Leadership.AcknowledgedByAllUntil(); !got.Equal(now.Add(-time.Second)) {
		t.Errorf("acknowledged until %v, not the oldest response's %v", got, now.Add(-time.Second))
	}
	c.node.Settings.Facts.ControllerCount = 4
	if !c.testState().Leadership.AcknowledgedByAllUntil().IsZero() {
		t.Error("a controller that can't be asked acknowledges")
	}
	old := &peer.Reply{StoreReached: true, Status: 404}
	if old.GetAcknowledgement().GetComplete() {
		t.Error("the version in production acknowledges")
	}
}
