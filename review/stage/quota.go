package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case "quota".
const (
	limitedGPUs   = 4                      // limit of the team risk-desk
	backlogJobs   = 1005                   // so many waiting jobs make the list of the live records longer than a page
	backlogUsers  = 60                     // users that submit the backlog at the same time
	slowPage      = 200 * time.Millisecond // "now and then a few hundred"
	slowChanges   = 350 * time.Millisecond // likewise
	slowTime      = 2 * time.Second        // so long the reads of one controller take so long
	firstPageTime = 10 * time.Millisecond  // time in which the first page is answered
	quotaPatience = 15 * time.Second       // time in which the tasks start
)

// limitedQurum is the small deployment with limits for two teams.
func limitedQurum() deployment {
	d := qurum()
	d.teams = teamTable("claims-core", 0) + teamTable("risk-desk", limitedGPUs) + teamTable("payouts", 1)
	return d
}

// longTask returns an array of one long task of the limited team.
func longTask(uid string) *job {
	return &job{
		UID: uid, Lane: "fraud-rescore", Owner: "risk-desk", Shape: "sweep", Rank: "standard", Pieces: 1,
		CPUs: 5, GPUs: 1, MemGB: 36, Bundle: "img-1", SizeGB: 1, GuessS: 300, runs: 300 * time.Second, pull: 100 * time.Millisecond,
	}
}

// service returns a service of one small task that keeps a machine of a zone in use.
func service(uid, zone string) *job {
	return &job{
		UID: uid, Lane: "receipt-reader", Owner: "claims-core", Shape: "daemon", Rank: "production", Pieces: 1, Site: &zone,
		CPUs: 1, GPUs: 0, MemGB: 4, Bundle: "img-1", SizeGB: 1, pull: 100 * time.Millisecond,
	}
}

// submitBacklog submits jobs that wait, because their team is at its limit, until all are accepted.
func submitBacklog(w *world) {
	var users sync.WaitGroup
	numbers := make(chan int)
	for user := range backlogUsers {
		users.Go(func() {
			for n := range numbers {
				waiting := longTask(fmt.Sprintf("run-1%05d", n))
				waiting.Owner, waiting.Lane, waiting.Rank = "payouts", "backlog", "idle"
				w.submit(waiting, user%len(w.controllers))
			}
		})
	}
	for n := range backlogJobs {
		numbers <- n
	}
	close(numbers)
	users.Wait()
}

// slowReads is how the state service answers one controller: its lists and its reads of changes take a
// few hundred milliseconds each, for a short time.
type slowReads struct {
	record     *recorder
	controller *controller
	firstPage  chan struct{} // closed when the first page of a list was read

	mu    sync.Mutex
	until time.Time
	once  sync.Once
}

// before delays an answer.
func (s *slowReads) before(r *http.Request) {
	s.mu.Lock()
	slow := time.Now().Before(s.until)
	s.mu.Unlock()
	times := map[string]time.Duration{"/keys": slowPage, "/changes": slowChanges}
	if !slow || times[r.URL.Path] == 0 {
		return
	}
	time.Sleep(times[r.URL.Path])
	s.record.note("state: %s reads %s, which took %v", s.controller.name, r.URL.RequestURI(), times[r.URL.Path])
	if r.URL.Path == "/keys" && r.FormValue("since") == "" {
		s.once.Do(func() { time.AfterFunc(firstPageTime, func() { close(s.firstPage) }) })
	}
}

// begin makes the answers slow from now on.
func (s *slowReads) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = time.Now().Add(slowTime)
}

// playQuota restarts a controller at once while there are more live records than a page of a list
// holds. Between two pages another controller places a task of a limited team on the restarting
// controller's machine.
func playQuota(w *world, trouble bool) verdict {
	w.cloud.limit(map[pool]int{{"muscat-a", false}: 3, {"muscat-a", true}: 0, {"sohar-b", false}: 1, {"sohar-b", true}: 0})
	w.jobs.limit("risk-desk", limitedGPUs)
	muscat, sohar := "muscat-a", "sohar-b"
	array, inSohar, inMuscat := longTask("run-000002"), longTask("run-000003"), longTask("run-000004")
	array.Pieces, array.Site = 3, &muscat
	inSohar.Site, inSohar.Rank = &sohar, "production"
	inMuscat.Site = &muscat
	time.Sleep(2 * time.Second)
	if !w.submit(service("run-000001", sohar), 1) || !w.submit(array, 0) {
		return verdict{exitCould, "the first jobs were not accepted"}
	}
	if !await(30*time.Second, func() bool { return w.jobs.startsOf(array.UID) == 3 && w.jobs.startsOf("run-000001") == 1 }) {
		return verdict{exitCould, "the first jobs did not start"}
	}
	submitBacklog(w)
	w.record.note("user: %d jobs wait", backlogJobs)
	time.Sleep(2 * time.Second)

	restarting := w.controllers[1]
	slow := &slowReads{record: w.record, controller: restarting, firstPage: make(chan struct{})}
	w.stateService.setBefore(restarting.name, slow.before)
	if trouble {
		w.signal(restarting, syscall.SIGKILL)
		time.Sleep(100 * time.Millisecond)
	}
	slow.begin()
	if trouble {
		if err := w.start(restarting); err != nil {
			return verdict{exitCould, err.Error()}
		}
		<-slow.firstPage
	}
	go w.submit(inSohar, 0)
	time.Sleep(150 * time.Millisecond)
	if !w.submit(inMuscat, 0) {
		return verdict{exitCould, "the last job was not accepted"}
	}
	await(quotaPatience, func() bool { return len(w.jobs.broken()) > 0 })
	if broken := w.jobs.broken(); len(broken) > 0 {
		return verdict{exitBroken, broken[0]}
	}
	if w.jobs.startsOf(inSohar.UID) == 0 {
		return verdict{exitCould, "the task in sohar-b did not start"}
	}
	return verdict{exitHeld, "the team stays within its limit"}
}
