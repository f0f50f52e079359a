package controller

import (
	"context"
	"errors"
	"slices"
	"time"

	"violetturn/internal/frontend"
	"violetturn/internal/peer"
)

// networkFaults are the current faults of the network between controllers, zones and services.
type networkFaults struct {
	isolated         map[int]bool // controllers that can't reach their peers
	partitionedZone  string       // the zone that is partitioned from everything outside it; "": none
	zonesPartitioned bool         // the zones can't reach each other
	peersRefused     bool         // connections between controllers are refused
}

// partitioned reports whether two zones can't reach each other.
func (f *networkFaults) partitioned(a, b string) bool {
	return a != b && (f.zonesPartitioned || f.partitionedZone == a || f.partitionedZone == b)
}

// zoneOf returns the zone of a controller.
func (s *clusterNodes) zoneOf(i int) string { return s.environment.Zones[i%len(s.environment.Zones)] }

// partitionZone partitions a zone from everything outside it, including the state service and the
// cloud. "" ends the partition.
func (s *clusterNodes) partitionZone(zone string) {
	s.partitionedZone = zone
	for i, n := range s.nodes {
		unreachable := s.zoneOf(i) == zone
		s.environment.Store.UnreachableControllers[n.name], s.environment.Cloud.UnreachableControllers[n.name] = unreachable, unreachable
	}
}

// errPeerUnreachable is the error of a request to a peer that can't be reached.
var errPeerUnreachable = errors.New("peer unreachable")

// peerLink is the connection of a controller to its peers.
type peerLink struct {
	cluster *clusterNodes
	from    int
}

// maxPeerCopies is the number of copies of requests to peers that the cluster keeps.
const maxPeerCopies = 16

// peerCopy is a copy of a request to a peer.
type peerCopy struct {
	to      *testNode
	request *peer.Request
}

// deliverPeerCopies delivers copies of the requests to peers, and forgets them.
func (s *clusterNodes) deliverPeerCopies() {
	copies := s.peerCopies
	s.peerCopies = nil
	for _, c := range copies {
		if c.to.serves() && c.to.controller.members.ShouldServePeer(c.request) {
			c.to.controller.frontend.ServeLocally(context.Background(), c.request)
		}
	}
}

// Call sends a request to a peer, which serves it immediately.
func (l peerLink) Call(ctx context.Context, addr string, r *peer.Request, _ time.Duration) (*peer.Reply, error) {
	to := slices.IndexFunc(l.cluster.nodes, func(n *testNode) bool { return n.name == addr })
	n := l.cluster.nodes[to]
	if !n.serves() || !l.cluster.connected(l.from, to) {
		return nil, errPeerUnreachable
	}
	if len(l.cluster.peerCopies) < maxPeerCopies {
		l.cluster.peerCopies = append(l.cluster.peerCopies, peerCopy{n, r})
	}
	if !n.controller.members.ShouldServePeer(r) {
		return n.controller.members.PeerStatus(r), nil
	}
	return frontend.NewPeerReply(n.controller.frontend.ServeLocally(ctx, r)), nil
}

// connected reports whether two controllers can reach each other.
func (s *clusterNodes) connected(a, b int) bool {
	return !s.peersRefused && !s.isolated[a] && !s.isolated[b] && !s.partitioned(s.zoneOf(a), s.zoneOf(b))
}

// beforeCommits makes each controller call f before its next transaction.
func (s *clusterNodes) beforeCommits(f func(node int)) {
	for i, n := range s.nodes {
		n.storeClient.BeforeCommit = func() { f(i) }
	}
}
