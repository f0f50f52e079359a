package estimate

import (
	"fmt"
	"io"
	"log/slog"
	"math"
	"testing"

	"violetturn/internal/api"
	"violetturn/internal/config"
	"violetturn/internal/node"
)

func newTestEstimates(t *testing.T) *Estimates {
	t.Helper()
	settings := &config.Settings{HostName: "n0", Zone: "x"}
	settings.Facts.Workers.HeartbeatIntervalS, settings.Facts.Workers.LeaseS = 1, 9
	settings.Facts.Teams = []config.Team{{Name: "guaranteed", GuaranteedCPUs: 8}, {Name: "free"}}
	settings.Facts.Objectives = []config.Objective{
		{Kind: config.ObjectiveWait, Class: "interactive", WithinS: 20},
		{Kind: config.ObjectiveFinished, Class: "nightly", WithinS: 500},
	}
	return New(node.New(settings, config.DefaultPolicy(), slog.New(slog.NewTextHandler(io.Discard, nil))))
}

func TestDeadlineSeconds(t *testing.T) {
	e := newTestEstimates(t)
	early, late := 100.0, 900.0
	for name, test := range map[string]struct {
		spec api.Job
		want float64
	}{
		"none":                                {api.Job{Kind: api.Array, Class: "other"}, UnlimitedSeconds},
		"job deadline":                        {api.Job{Kind: api.Array, Class: "other", DeadlineS: &late}, late},
		"class objective":                     {api.Job{Kind: api.Array, Class: "nightly"}, 500},
		"job deadline before class objective": {api.Job{Kind: api.Array, Class: "nightly", DeadlineS: &early}, early},
		"class objective before job deadline": {api.Job{Kind: api.Array, Class: "nightly", DeadlineS: &late}, 500},
		"a service never finishes":            {api.Job{Kind: api.Service, Class: "nightly"}, UnlimitedSeconds},
		"a wait objective is no deadline":     {api.Job{Kind: api.Array, Class: "interactive"}, UnlimitedSeconds},
	} {
		t.Run(name, func(t *testing.T) {
			if got := e.DeadlineSeconds(&test.spec); got != test.want {
				t.Errorf("deadline is %v seconds, want %v", got, test.want)
			}
		})
	}
}

func TestWaitingSlack(t *testing.T) {
	e := newTestEstimates(t)
	deadline := 100.0
	const fetch = 5
	for name, test := range map[string]struct {
		spec api.Job
		want float64
	}{
		"none":             {api.Job{Class: "other", EstimatedRunS: 30}, math.Inf(1)},
		"deadline":         {api.Job{Class: "other", EstimatedRunS: 30, DeadlineS: &deadline}, 100 - 30 - fetch},
		"wait":             {api.Job{Class: "interactive", EstimatedRunS: 30}, 20 - fetch},
		"finished":         {api.Job{Class: "nightly", EstimatedRunS: 30}, 500 - 30 - fetch},
		"least of several": {api.Job{Class: "nightly", EstimatedRunS: 30, DeadlineS: &deadline}, 100 - 30 - fetch},
		"guarantee":        {api.Job{Class: "other", Team: "guaranteed"}, 2},
		"no guarantee":     {api.Job{Class: "other", Team: "free"}, math.Inf(1)},
	} {
		t.Run(name, func(t *testing.T) {
			if got := e.WaitingSlack(test.spec.Class, &test.spec, fetch); got != test.want {
				t.Errorf("slack is %v seconds, want %v", got, test.want)
			}
		})
	}
}

// The observed run times of a class correct its users' estimates: the first observation counts
// fully, each later one with a weight of a tenth, and ratios are limited to between a tenth and ten.
func TestEstimatedRuntimeCorrectsUserEstimate(t *testing.T) {
	e := newTestEstimates(t)
	spec := &api.Job{Class: "a", EstimatedRunS: 100}
	expect := func(want float64) {
		t.Helper()
		if got := e.EstimatedRuntime(spec); math.Abs(got-want) > 1e-9 {
			t.Errorf("estimated run time is %v seconds, want %v", got, want)
		}
	}
	expect(100)
	e.ObserveRuntime("a", 2)
	expect(200)
	e.ObserveRuntime("a", 1)
	expect(100 * math.Pow(2, 0.9))
	e.ObserveRuntime("b", 1000)
	spec.Class = "b"
	expect(1000)
	e.ObserveRuntime("c", 0)
	spec.Class = "c"
	expect(10)
}

// Users can name classes freely, so the number of recorded classes must be bounded.
func TestRuntimeBiasBoundsNumberOfClasses(t *testing.T) {
	e := newTestEstimates(t)
	for i := range 10 * maxClasses {
		e.ObserveRuntime(fmt.Sprint(i), 2)
		if len(e.runtimeBias) > maxClasses {
			t.Fatalf("%d classes are recorded, want at most %d", len(e.runtimeBias), maxClasses)
		}
	}
}
