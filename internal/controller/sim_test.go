package controller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/frontend"
	"violetturn/internal/httpwire"
	"violetturn/internal/peer"
	"violetturn/internal/simulator"
	"violetturn/internal/state"
)

// sim joins controllers with the simulated services. It runs everything in one
// goroutine, so that a seed gives the same day every time.
type sim struct {
	w       *simulator.World
	nodes   []*simNode
	held    []func()             // reports held back by cuts
	copies  []copied             // reports that arrived, to arrive once more, late
	alone   map[int]bool         // controllers that can't reach their peers
	answers map[string]*inFlight // answers on their way to workers
	uids    []string
	cutOff  string // a zone that is cut off from everything
	apart   bool   // the zones can't reach each other
	refuse  bool   // connections between controllers are refused
	fell    bool   // the state service has its coming limits
	log     *slog.Logger

	state, next config.StateLimits // of the state service

	adjust  func(*simNode, *config.Settings) // changes a controller's settings before it starts; nil: nothing
	started func(*simNode)                   // hears of each controller that was started; may be nil
}

// copied is a heartbeat that arrived, and where.
type copied struct {
	to   int
	body []byte
}

func (s *sim) zone(i int) string { return s.w.Zones[i%len(s.w.Zones)] }

// parted reports whether a zone and another can't reach each other.
func (s *sim) parted(a, b string) bool {
	return a != b && (s.apart || s.cutOff == a || s.cutOff == b)
}

// cutZone cuts a zone off, "" none.
func (s *sim) cutZone(zone string) {
	s.cutOff = zone
	for i, n := range s.nodes {
		s.w.Store.Unreachable[n.name], s.w.Cloud.Unreachable[n.name] = s.zone(i) == zone, s.zone(i) == zone
	}
}

// link is the connection of a controller to its peers.
type link struct {
	s    *sim
	from int
}

// Ask implements the controller's link.
func (l link) Ask(ctx context.Context, addr string, r *peer.Request, _ time.Duration) (*peer.Reply, error) {
	to := slices.IndexFunc(l.s.nodes, func(n *simNode) bool { return n.name == addr })
	n := l.s.nodes[to]
	if l.s.refuse || l.s.alone[l.from] || l.s.alone[to] || !n.works() || l.s.parted(l.s.zone(l.from), l.s.zone(to)) {
		return nil, errors.New("refused")
	}
	if !n.c.members.ServesForPeer(r) {
		return n.c.members.PeerStatus(r), nil
	}
	return frontend.PeerReply(n.c.frontend.ServeLocally(ctx, r)), nil
}

type simNode struct {
	name   string
	c      *Controller
	direct *simulator.CommandClient
	aside  []func()
	up     bool
	old    bool // it behaves as the version in production
	still  bool // it stands still, its clock runs on
}

func (n *simNode) works() bool { return n.up && !n.still }

// inFlight is an answer that a worker still waits for.
type inFlight struct {
	o      api.CommandBatch
	sent   time.Time
	tenure uint64
}

func settings(i int, names, zones []string, limits map[string]float64) *config.Settings {
	s := &config.Settings{HostName: names[i], Zone: zones[i%len(zones)]}
	for k, n := range names {
		if k != i {
			s.Members = append(s.Members, config.Member{HostName: n, Zone: zones[k%len(zones)], Addr: n})
		}
	}
	f := &s.Facts
	f.Size, f.Zones = len(names), zones
	f.Workers.ReportS, f.Workers.LeaseS, f.Workers.CancelS = 1, 9, 40
	f.Workers.GangWaitS, f.Workers.GangPeerS = 12, 3
	f.Cloud.RPS, f.Cloud.ListLagS = 8, 2
	f.Limits.MemoryMB, f.Limits.MaxSockets = 100, 900
	for _, t := range []string{"a", "b"} {
		f.Teams = append(f.Teams, config.Team{Name: t, GPUs: limits[t] / 2, GPUsMax: limits[t]})
	}
	return s
}

func newSim() *sim {
	w := simulator.New(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	w.MachineType = simulator.MachineType{Name: "m", CPUs: 8, GPUs: 2, MemGB: 64, Boot: 6 * time.Second, Fetch: 2 * time.Second}
	w.Zones = []string{"x", "y"}
	w.Lease, w.CancelS, w.ListLag = 9*time.Second, 40*time.Second, 2*time.Second
	w.GangWait, w.GangPeer = 12*time.Second, 3*time.Second
	w.TeamGPULimits = map[string]float64{"a": 5}
	s := &sim{
		w:       w,
		state:   config.StateLimits{RPS: 120, WriteRPS: 25, ValueKB: 4, TxnOps: 8},
		next:    config.StateLimits{RPS: 120, WriteRPS: 18, ValueKB: 2, TxnOps: 4},
		answers: map[string]*inFlight{},
		alone:   map[int]bool{},
		log:     slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	if os.Getenv("SIM_LOG") != "" {
		s.log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	for i := range 3 {
		s.nodes = append(s.nodes, &simNode{name: fmt.Sprintf("n%d", i)})
		s.start(i)
	}
	return s
}

// start starts a controller, anew with nothing but its settings.
func (s *sim) start(i int) {
	n := s.nodes[i]
	names := []string{"n0", "n1", "n2"}
	cfg := settings(i, names, s.w.Zones, s.w.TeamGPULimits)
	cfg.Facts.Workers.LeaseS, cfg.Facts.Workers.CancelS = s.w.Lease.Seconds(), s.w.CancelS.Seconds()
	next := s.next
	cfg.Facts.State.StateLimits, cfg.Facts.State.Next = s.state, &next
	if n.old {
		cfg.Facts.State.Next = nil
	}
	if s.adjust != nil {
		s.adjust(n, cfg)
	}
	testStates.Delete(n.c)
	n.c = newController(cfg, config.DefaultPolicy(), s.log.With("node", n.name))
	n.c.node.Random = rand.New(rand.NewPCG(uint64(i), 1))
	begin := s.w.Now
	fast := float64(i) * 0.00025 // clocks run up to 0.05 per cent fast
	n.c.node.Now = func() time.Time {
		return s.w.Now.Add(time.Duration(float64(s.w.Now.Sub(begin)) * fast))
	}
	n.aside = nil
	n.c.node.SteppedClock = true
	c := n.c
	c.node.RunAsync = func(f func()) {
		if n.c == c {
			n.aside = append(n.aside, f)
		}
	}
	n.direct = &simulator.CommandClient{
		W:               s.w,
		Node:            n.name,
		PartitionedFrom: func(x *simulator.Worker) bool { return s.parted(s.zone(i), x.Zone) },
	}
	c.services.Peers = link{s, i}
	c.services.Store = &simulator.Client{
		S:             s.w.Store,
		Node:          n.name,
		OnServed:      c.sync.NoteStoreAnswer,
		TxnOps:        cfg.Facts.State.TxnOps,
		MaxValueBytes: int(cfg.Facts.State.ValueKB * 1024),
	}
	if !n.old { // it makes nothing larger than the coming limits but what the version before made
		c.services.Store.(*simulator.Client).TxnOps = cfg.LowestLimits().TxnOps
	}
	if n.old {
		c.services.Store = &productionStore{c.services.Store, shapes{}}
	}
	c.services.Cloud = &simulator.CloudClient{C: s.w.Cloud, Node: n.name}
	c.services.Workers = n.direct
	n.up, n.still = true, false
	if s.started != nil {
		s.started(n)
	}
}

// step lets a controller do what its loops would.
func (s *sim) step(i int) {
	n := s.nodes[i]
	if !n.works() {
		return
	}
	ctx := context.Background()
	if !n.c.sync.StoreReachable() {
		n.c.members.AskPeers(ctx)
	}
	if n.c.testState().Cache.Loaded {
		_ = n.c.sync.ApplyChanges(ctx, n.c.testState().Cache.Revision, 0) // refused in an outage
	} else {
		_ = n.c.sync.Load(ctx)
	}
	n.c.election.MaintainLease(ctx)
	n.c.decisions.Decide(ctx)
	n.c.scaling.Autoscale(ctx)
	aside := n.aside
	n.aside = nil
	for _, f := range aside {
		f()
	}
}

type reportFault int

const (
	reportOK reportFault = iota
	reportHeld
	answerLost
	answerSlow
)

// report lets a worker report to its controller.
func (s *sim) report(x *simulator.Worker, f reportFault) {
	if !x.Up() || x.Hung {
		return
	}
	if a := s.answers[x.Host]; a != nil {
		delete(s.answers, x.Host)
		if s.w.Now.Sub(a.sent) < 4*time.Second {
			x.HandleResponse(a.o, a.sent, a.tenure)
		}
		return
	}
	body := api.JSON(x.Heartbeat())
	to := x.Node
	if cut := x.Partitioned || x.OutboundLost || s.nodes[to].direct.Cut || s.parted(s.zone(to), x.Zone); cut || !s.nodes[to].works() {
		if cut && f == reportHeld {
			s.held = append(s.held, func() { s.deliver(to, body) })
		}
		x.Node = (to + 1) % len(s.nodes)
		return
	}
	if len(s.copies) < 64 {
		s.copies = append(s.copies, copied{to, body})
	}
	sent, agentEpoch := s.w.Now, x.AgentEpoch
	status, o, leader := s.deliver(to, body)
	switch {
	case f == answerLost || x.InboundLost:
		x.Node = (to + 1) % len(s.nodes)
	case status == 200 && f == answerSlow:
		s.answers[x.Host] = &inFlight{o, sent, agentEpoch}
	default:
		s.answered(x, to, status, o, leader, sent, agentEpoch)
	}
}

// answered lets a worker take in an answer that it heard.
func (s *sim) answered(x *simulator.Worker, to, status int, o api.CommandBatch, leader string, sent time.Time, agentEpoch uint64) {
	switch {
	case status == 200:
		x.HandleResponse(o, sent, agentEpoch)
	case status == 421 && leader != "" && leader != s.nodes[to].name:
		x.Node = slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == leader })
	default:
		x.Node = (to + 1) % len(s.nodes)
	}
}

func (s *sim) deliver(to int, body []byte) (int, api.CommandBatch, string) {
	n := s.nodes[to]
	if !n.works() {
		return 0, api.CommandBatch{}, ""
	}
	r := n.c.frontend.HandleHeartbeat(&httpwire.Message{Method: "POST", Target: "/checkin", Body: body})
	o, leader, err := simulator.ParseHeartbeatResponse(r.Body)
	if err != nil {
		panic(err)
	}
	return r.Status, o, leader
}

func (s *sim) submit(i int, uid string) {
	if !s.nodes[i].works() || s.nodes[i].old && s.w.Jobs[uid].Spec.Kind == api.Gang {
		return // nothing new is asked of the version before
	}
	r := s.nodes[i].c.frontend.ServeOrForward(
		context.Background(),
		&peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: simulator.Submission(&s.w.Jobs[uid].Spec)},
	)
	s.told(uid, r.Status, r.Body, true)
}

func (s *sim) poll(i int, uid string) {
	if s.nodes[i].works() {
		r := s.nodes[i].c.frontend.ServeOrForward(context.Background(), &peer.Request{Kind: peer.Request_KIND_QUERY, Uid: uid})
		s.told(uid, r.Status, r.Body, false)
	}
}

func (s *sim) cancel(i int, uid string) {
	if !s.nodes[i].works() {
		return
	}
	s.w.Jobs[uid].CancelRequested = true
	r := s.nodes[i].c.frontend.ServeOrForward(context.Background(), &peer.Request{Kind: peer.Request_KIND_CANCEL, Uid: uid})
	s.told(uid, r.Status, r.Body, false)
}

func (s *sim) told(uid string, status int, body []byte, submission bool) {
	var a struct {
		Phase string `json:"phase"`
	}
	_ = json.Unmarshal(body, &a) // an answer without a phase has none
	s.w.CheckAnswer(uid, status, a.Phase, submission)
}

// round lets everybody do what they do in half a second.
func (s *sim) round() {
	for i := range s.nodes {
		s.step(i)
	}
	for _, h := range s.w.Cloud.Names() {
		s.report(s.w.Cloud.Hosts[h], reportOK)
	}
	s.w.Advance(500 * time.Millisecond)
}

// heal ends all troubles.
func (s *sim) heal() {
	s.w.Store.Down, s.w.Cloud.Down, s.w.Cloud.Full = false, false, false
	clear(s.w.Store.Refuse)
	clear(s.w.Store.Unreachable)
	clear(s.w.Cloud.Unreachable)
	s.cutOff, s.apart, s.refuse = "", false, false
	clear(s.alone)
	s.w.MachineType.Boot = 6 * time.Second
	for i, n := range s.nodes {
		if !n.up || n.old {
			n.old = false
			s.start(i)
		}
	}
	for _, x := range s.w.Cloud.Hosts {
		x.Partitioned, x.InboundLost, x.OutboundLost, x.Hung = false, false, false, false
	}
	for _, n := range s.nodes {
		n.direct.Cut = false
	}
}

// settled reports whether every accepted array is done and known to be.
func (s *sim) settled() bool {
	for _, id := range s.uids {
		j := s.w.Jobs[id]
		if j.FinalPhase != "" || j.Spec.Kind == api.Service {
			continue
		}
		// It may be accepted although no user was told.
		if s.poll(0, id); j.Accepted && j.FinalPhase == "" {
			return false
		}
	}
	return true
}

// explain returns what the first controller knows of a job.
func (s *sim) explain(uid string) string {
	c := s.nodes[0].c
	out := ""
	if j := c.testState().Cache.Jobs[uid]; j != nil {
		out = fmt.Sprintf("main %s", api.JSON(j.Record))
		for n, ch := range j.Ranges {
			out += fmt.Sprintf(" chunk %d %s", n, api.JSON(ch.Record))
		}
	}
	for t, u := range c.testState().Cache.Quotas {
		out += fmt.Sprintf(" team %s %s", t, api.JSON(u.Record))
	}
	for _, p := range c.node.Shards {
		out += fmt.Sprintf(" part %s %s own %s", p, api.JSON(c.testState().Cache.Capacities[p].Record), api.JSON(c.testState().Cache.Leaders[p].Record))
	}
	for h, m := range c.testState().Cache.Machines {
		x := s.w.Cloud.Hosts[h]
		out += fmt.Sprintf(" host %s %s there %t up %t", h, api.JSON(m), x != nil, x != nil && x.Up())
	}
	for _, n := range s.nodes {
		p := n.c.testState().Scheduler.Plan(n.c.node.Now())
		out += fmt.Sprintf(
			" %s: unmet %d refused %v in doubt %v flavors %d", n.name, len(p.Unmet), n.c.testState().Catalog.CapacityBackoffs,
			n.c.scaling.Rentals.Unanswered, len(n.c.testState().Catalog.MachineTypes),
		)
	}
	return out
}

// testStates are the states of the controllers of tests.
var testStates sync.Map // of *Controller to *state.State

// testState returns the state of a controller, without its lock: in tests nothing else uses
// it at the time.
func (c *Controller) testState() *state.State {
	if known, ok := testStates.Load(c); ok {
		return known.(*state.State)
	}
	s := c.guard.Lock()
	c.guard.Unlock()
	testStates.Store(c, s)
	return s
}
