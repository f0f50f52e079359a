package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/cloud"
	"violetturn/internal/config"
	"violetturn/internal/external"
	"violetturn/internal/httpwire"
	"violetturn/internal/peer"
	"violetturn/internal/simulator"
	"violetturn/internal/statecache"
)

// extremeAmounts are valid amounts at the ends of their range, as a message has them. The first ones are
// drawn most often.
var extremeAmounts = []string{
	"1.7e308", "5e-324", "1e300", "0", "9.3e18", "9.2e9", "1000000001", "1e9", "9.3e12", "1e20", "1e-7", "1e-300", "1",
}

// malformedAmounts are no valid amounts.
var malformedAmounts = []string{"-5e-324", "-1", "-1.7e308", "1e309", "1e999999", `"1"`, "[]", "null"}

// Fields of a submission that are amounts: what a task takes of its machine, and others.
var (
	resourcesOfJob    = []string{"memGb", "cpus", "gpus"}
	otherAmountsOfJob = []string{"stowS", "sizeGb", "guessS", "bookmarkS", "dueS"}
)

// No number that a user, a worker or the cloud sends, or that an earlier version has recorded, ends a
// controller or breaks a rule, and an ordinary job is served afterwards.
func TestExtremeNumbersEndNoController(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := numberedCluster{newTestCluster()}
		var errorLog strings.Builder
		s.log = slog.New(slog.NewTextHandler(&errorLog, &slog.HandlerOptions{Level: slog.LevelError}))
		s.drawEnvironment(t)
		s.runFor(10)
		for range rapid.IntRange(3, 8).Draw(t, "actions") {
			rapid.SampledFrom([]func(*rapid.T){
				s.submitNumbers, s.sendNotices, s.submitNumbers, s.recordNumbers, s.restartOne, s.cancelOne, s.sendForgedHeartbeat,
			}).Draw(t, "action")(t)
			for range rapid.IntRange(1, 30).Draw(t, "rounds") {
				s.runRound()
				s.checkViolations(t)
			}
		}
		s.checkOrdinaryJobIsServed(t)
		if strings.Contains(errorLog.String(), "can't be") { // encoded or read
			t.Fatalf("controllers logged errors: %s", errorLog.String())
		}
	})
}

// numberedCluster is a cluster in which a generated test draws numbers at the ends of their ranges.
type numberedCluster struct{ *testCluster }

// drawAmount draws a valid amount.
func drawAmount(t *rapid.T, label string) string {
	return rapid.SampledFrom(extremeAmounts).Draw(t, label)
}

// number returns the value of an amount of a message.
func number(amount string) float64 {
	var value float64
	if err := json.Unmarshal([]byte(amount), &value); err != nil {
		panic(err) // the amounts above are valid
	}
	return value
}

// drawEnvironment draws the size, prices and times of the machines, and the limit of a team, and starts
// the controllers again.
func (s numberedCluster) drawEnvironment(t *rapid.T) {
	machine := &s.environment.MachineType
	machine.CPUs = rapid.SampledFrom([]float64{8, math.MaxFloat64}).Draw(t, "machine's CPUs")
	machine.MemGB = rapid.SampledFrom([]float64{64, 9.3e12, math.MaxFloat64}).Draw(t, "machine's memory")
	s.environment.TeamGPULimits["a"] = rapid.SampledFrom([]float64{0, math.SmallestNonzeroFloat64, 5, math.MaxFloat64}).Draw(t, "limit")
	offered := cloud.MachineType{
		CacheGB:     number(drawAmount(t, "cache")),
		FetchGBPerS: number(drawAmount(t, "fetch rate")),
		BootS:       number(drawAmount(t, "boot time")),
		Price:       number(drawAmount(t, "price")),
		SpotPrice:   number(drawAmount(t, "spot price")),
	}
	s.onStart = func(n *testNode) {
		n.controller.services.Cloud = numberedCloud{n.controller.services.Cloud, offered}
	}
	s.adjustSettings = func(_ *testNode, settings *config.Settings) {
		settings.Facts.Teams = append(settings.Facts.Teams, config.Team{Name: ordinaryTeam, GuaranteedGPUs: 2})
	}
	for i := range s.nodes {
		s.startNode(i)
	}
}

// ordinaryTeam is a team that submits no extreme numbers and has a guarantee.
const ordinaryTeam = "c"

// numberedCloud is a client of a cloud whose machine type has drawn prices and times.
type numberedCloud struct {
	external.Cloud
	offered cloud.MachineType
}

// MachineTypes returns the cloud's machine types with the drawn prices and times.
func (c numberedCloud) MachineTypes(ctx context.Context) ([]cloud.MachineType, error) {
	types, err := c.Cloud.MachineTypes(ctx)
	for i := range types {
		t := &types[i]
		t.CacheGB, t.FetchGBPerS, t.BootS = c.offered.CacheGB, c.offered.FetchGBPerS, c.offered.BootS
		t.Price, t.SpotPrice = c.offered.Price, c.offered.SpotPrice
	}
	return types, err
}

// submitNumbers submits a job with some extreme amounts, one of which may be malformed.
func (s numberedCluster) submitNumbers(t *rapid.T) {
	id := fmt.Sprintf("run-%06d", len(s.jobIDs))
	spec, runTime := drawJob(t, id, "")
	spec.AllowSpot = spec.AllowSpot || spec.CheckpointIntervalS > 0
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(simulator.Submission(spec), &fields) // the body was encoded just now and is valid
	for _, field := range otherAmountsOfJob {
		if rapid.Bool().Draw(t, "replaces "+field) {
			fields[field] = json.RawMessage(drawAmount(t, field))
		}
	}
	if rapid.IntRange(0, 3).Draw(t, "replaces a resource") == 3 {
		fields[rapid.SampledFrom(resourcesOfJob).Draw(t, "resource")] = json.RawMessage(drawAmount(t, "amount"))
	}
	malformed := rapid.IntRange(0, 3).Draw(t, "malformed") == 3
	if malformed {
		notNull := slices.Concat(resourcesOfJob, otherAmountsOfJob[:4])
		field := rapid.SampledFrom(notNull).Draw(t, "malformed field")
		fields[field] = json.RawMessage(rapid.SampledFrom(malformedAmounts).Draw(t, "malformed amount"))
	}
	body := api.MustMarshal(fields)
	request := &peer.Request{Kind: peer.Request_KIND_SUBMIT, Body: body}
	response := s.nodes[s.drawServing(t)].controller.frontend.ServeOrForward(t.Context(), request)
	if malformed {
		if response.Status != 400 && response.Status != 503 {
			t.Fatalf("malformed submission %s: got status %d, want 400", body, response.Status)
		}
		return
	}
	if err := json.Unmarshal(body, spec); err != nil {
		t.Fatal(err)
	}
	s.environment.Jobs[id] = &simulator.Job{Spec: *spec, RunTime: runTime, DoneTasks: map[int]bool{}}
	s.jobIDs = append(s.jobIDs, id)
	if status := response.Status; status != 201 && status != 422 && status != 503 {
		t.Fatalf("submission %s: got status %d and body %s, want 201, 422 or 503", body, status, response.Body)
	}
	s.checkResponse(id, response.Status, response.Body, true)
}

// drawServing draws a controller that serves.
func (s numberedCluster) drawServing(t *rapid.T) int {
	var serving []int
	for i, n := range s.nodes {
		if n.serves() {
			serving = append(serving, i)
		}
	}
	return rapid.SampledFrom(serving).Draw(t, "node")
}

// recordNumbers writes extreme amounts into the record of an unfinished job, as an earlier version would
// have recorded them, and lets every controller read it.
func (s numberedCluster) recordNumbers(t *rapid.T) {
	for _, id := range s.jobIDs {
		if len(s.environment.Store.Items(statecache.JobKey(id))) == 0 {
			continue
		}
		field := rapid.SampledFrom(append(otherAmountsOfJob, "memGb")).Draw(t, "field") // the simulated machines check CPUs and GPUs
		amount := drawAmount(t, "amount")
		s.changeRecordedSpec(t, id, func(spec map[string]any) { spec[field] = json.RawMessage(amount) })
		return
	}
}

// sendNotices notifies the workers of all spot machines, after a drawn time.
func (s numberedCluster) sendNotices(t *rapid.T) {
	noticeS := number(rapid.SampledFrom([]string{"-1.7e308", "-1", "0", "5e-324", "20", "1e20", "1.7e308"}).Draw(t, "notice"))
	for _, worker := range s.environment.Cloud.WorkersByHost {
		if worker.Spot {
			worker.SpotNoticeS = &noticeS
		}
	}
}

// sendForgedHeartbeat sends a heartbeat with extreme numbers, of a machine that the cloud has not rented.
func (s numberedCluster) sendForgedHeartbeat(t *rapid.T) {
	counts := []string{"0", "1", "18446744073709551615", "18446744073709551616", "-1", "1e3", "1e999"}
	draw := func(label string) string { return rapid.SampledFrom(counts).Draw(t, label) }
	body := fmt.Sprintf(`{"host":"i-999999","addr":"10.0.0.9:1","build":"m","site":"x","tenure":%s,"tick":%s,"baton":%s,"recallS":%s,`+
		`"pieces":[{"piece":"run-000000/0","try":%s,"phase":"running"}]}`,
		draw("epoch"), draw("sequence"), draw("token"), drawAmount(t, "notice"), draw("attempt"))
	for _, n := range s.nodes {
		if !n.serves() {
			continue
		}
		response := n.controller.frontend.HandleHeartbeat(&httpwire.Message{Method: "POST", Target: "/checkin", Body: []byte(body)})
		if status := response.Status; status != 400 && status != 421 && status != 503 {
			t.Fatalf("heartbeat %s of an unknown machine: got status %d, want 400, 421 or 503", body, status)
		}
	}
}

// cancelOne cancels a job, so that its tasks are stopped at once.
func (s numberedCluster) cancelOne(t *rapid.T) {
	if len(s.jobIDs) > 0 {
		s.cancel(s.drawServing(t), rapid.SampledFrom(s.jobIDs).Draw(t, "job"))
	}
}

// restartOne restarts a controller, so that another one acts for its shard and it reads all records.
func (s numberedCluster) restartOne(t *rapid.T) { s.startNode(s.drawNode(t)) }

// drawNode draws a controller.
func (s numberedCluster) drawNode(t *rapid.T) int {
	return rapid.IntRange(0, len(s.nodes)-1).Draw(t, "node")
}

// checkOrdinaryJobIsServed submits an array without any extreme number and waits until it is done.
func (s numberedCluster) checkOrdinaryJobIsServed(t *rapid.T) {
	const maxRounds = 400
	id := s.submitArray(2, time.Second, func(j *api.Job) { j.Team, j.Priority = ordinaryTeam, api.Production })
	done := s.isDone(id)
	for range maxRounds {
		if done() {
			return
		}
		if !s.environment.Jobs[id].Accepted {
			s.submit(s.drawServing(t), id)
		}
		s.runRound()
		s.checkViolations(t)
	}
	t.Fatalf("ordinary job is not done within %d rounds: %s", maxRounds, s.describeJob(id))
}
