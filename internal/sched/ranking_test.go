package sched

import (
	"testing"

	"pgregory.net/rapid"
)

// Ranking assigns the tasks of a job to the same machines as a separate FullestFit per task, also if
// the allowed zones differ from task to task.
func TestRankingMatchesRepeatedFullestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		for _, h := range hosts {
			h.OtherTasks = rapid.IntRange(0, 1).Draw(t, "arrays")
			if rapid.Bool().Draw(t, "has image") {
				h.Images = map[string]bool{"i": true}
			}
		}
		copies := make([]*Host, len(hosts))
		for i, h := range hosts {
			hostCopy := *h
			copies[i] = &hostCopy
		}
		request := &TaskRequest{
			Need:         drawResources(t, "need", 6),
			AllowSpot:    rapid.Bool().Draw(t, "spot"),
			Zone:         rapid.SampledFrom([]string{"", "x"}).Draw(t, "zone"),
			Image:        "i",
			PreferImage:  rapid.Bool().Draw(t, "prefers its image"),
			RequireImage: rapid.Bool().Draw(t, "requires its image"),
			Service:      rapid.Bool().Draw(t, "service"),
		}
		ranking := NewRanking(nil, nil, &TaskRequest{})
		ranking = NewRanking(ranking, hosts[:len(hosts)/2], request)
		for _, h := range hosts[len(hosts)/2:] {
			ranking.Add(h)
		}
		for range rapid.IntRange(1, 12).Draw(t, "tasks") {
			excludedZone := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "excluded zone")
			taskRequest := *request
			taskRequest.ZoneAllowed = func(zone string) bool { return zone != excludedZone }
			got, want := ranking.Best(taskRequest.ZoneAllowed), FullestFit(copies, &taskRequest)
			if (got == nil) != (want == nil) || got != nil && got.Name != want.Name {
				t.Fatalf("Best() = %v, want %v as FullestFit() returns", got, want)
			}
			if got == nil {
				continue
			}
			for _, h := range []*Host{got, want} {
				if h.Free = h.Free.Sub(request.Need); request.Service {
					h.ServiceTasks++
				} else {
					h.OtherTasks++
				}
			}
		}
	})
}
