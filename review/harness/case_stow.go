package main

import "time"

// noticeTime is the notice of the brief's site for a cheap machine that is taken back.
const noticeTime = 20 * time.Second

// runStow submits an array that saves, with a mistake in one number, and takes back the cheap machines
// with notice as the disruption.
func runStow(w *world) (held bool, err error) {
	w.rooms["muscat-a"], w.rooms["sohar-b"] = 2, 2
	spec := rescoreSpec()
	spec.Loaners, spec.BookmarkS, spec.StowS = true, 20, 1e308
	j, err := w.submit(spec, 30*time.Second)
	if err != nil {
		return false, err
	}
	err = await("the tasks run", 40*time.Second, func() bool {
		n := 0
		for _, v := range w.cloud.workers() {
			for i := range spec.Pieces {
				if v.has(&task{job: j, index: i}) {
					n++
				}
			}
		}
		return n == spec.Pieces
	})
	if err != nil {
		return false, err
	}
	if w.trouble {
		for _, v := range w.cloud.workers() {
			if v.Loaners {
				v.recall(noticeTime)
			}
		}
	}
	allDown := 0
	for begun := time.Now(); time.Since(begun) < 60*time.Second; time.Sleep(time.Second) {
		down := 0
		for _, n := range w.nodes {
			if !n.isRunning() {
				down++
			}
			n.restartAfterEnd()
		}
		if down == nodeCount {
			allDown++
		}
		if down < nodeCount && w.phase(j.UID) == "done" {
			break
		}
	}
	w.record.note("case", "controllers that ended by themselves: %d times; all were down for about %d s", len(w.brokenRules()), allDown)
	return len(w.brokenRules()) == 0, nil
}
