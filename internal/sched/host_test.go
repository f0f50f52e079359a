package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawResources(t *rapid.T, name string, most int) Resources {
	n := func(s string) float64 { return float64(rapid.IntRange(0, most).Draw(t, name+s)) / 2 }
	return Resources{n("cpus"), n("gpus"), n("mem")}
}

func drawHosts(t *rapid.T) []*Host {
	var out []*Host
	for i := range rapid.IntRange(0, 6).Draw(t, "hosts") {
		c := Resources{8, 4, 8}
		out = append(out, &Host{Name: fmt.Sprint("h", i), MachineType: "m", Zone: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "site"),
			Spot: rapid.Bool().
				Draw(t, "spot"),
			Cap: c, Free: c.Sub(drawResources(t, "used", 8)), Services: rapid.IntRange(0, 1).Draw(t, "daemons")})
	}
	return out
}

// The fullest fit is a machine that fits and is allowed, and no other such
// machine is left fuller.
func TestFullestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		a := &TaskRequest{
			Need: drawResources(t, "need", 6),
			Spot: rapid.Bool().Draw(t, "loaners"),
			Zone: rapid.SampledFrom([]string{"", "x"}).Draw(t, "asked"),
		}
		got := FullestFit(hosts, a)
		for _, h := range hosts {
			fits := h.Free.Fits(a.Need) && (a.Spot || !h.Spot) && (a.Zone == "" || a.Zone == h.Zone)
			if got == h && !fits {
				t.Fatalf("%+v does not fit", *h)
			}
			if fits && (got == nil || emptyShare(h, a.Need) < emptyShare(got, a.Need)-eps) {
				t.Fatalf("%+v is fuller", *h)
			}
		}
	})
}

// Tasks of a job go where one look for each of them would have put them, however the
// zones that its other tasks leave change from task to task.
func TestRankingIsRepeatedFullestFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := drawHosts(t)
		for _, h := range hosts {
			h.Arrays = rapid.IntRange(0, 1).Draw(t, "sweeps")
			if rapid.Bool().Draw(t, "warm") {
				h.Images = map[string]bool{"i": true}
			}
		}
		plain := make([]*Host, len(hosts))
		for i, h := range hosts {
			same := *h
			plain[i] = &same
		}
		a := &TaskRequest{
			Need:         drawResources(t, "need", 6),
			Spot:         rapid.Bool().Draw(t, "loaners"),
			Zone:         rapid.SampledFrom([]string{"", "x"}).Draw(t, "asked"),
			Image:        "i",
			PreferImage:  rapid.Bool().Draw(t, "wants its image"),
			RequireImage: rapid.Bool().Draw(t, "needs its image"),
			Service:      rapid.Bool().Draw(t, "daemon"),
		}
		r := Rank(nil, nil, &TaskRequest{})
		r = Rank(r, hosts[:len(hosts)/2], a)
		for _, h := range hosts[len(hosts)/2:] {
			r.Add(h)
		}
		for range rapid.IntRange(1, 12).Draw(t, "tasks") {
			barred := rapid.SampledFrom([]string{"", "x", "y"}).Draw(t, "barred")
			one := *a
			one.ZoneAllowed = func(zone string) bool { return zone != barred }
			got, want := r.Best(one.ZoneAllowed), FullestFit(plain, &one)
			if (got == nil) != (want == nil) || got != nil && got.Name != want.Name {
				t.Fatalf("%v, one look gives %v", got, want)
			}
			if got == nil {
				continue
			}
			for _, h := range []*Host{got, want} {
				if h.Free = h.Free.Sub(a.Need); a.Service {
					h.Services++
				} else {
					h.Arrays++
				}
			}
		}
	})
}

// Own part first; room anywhere is found, also for a second job by the same chooser.
func TestChooserPrefersOwnShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := map[string][]*Host{"own": drawHosts(t), "p": drawHosts(t), "q": drawHosts(t)}
		seed := rapid.Uint64().Draw(t, "seed")
		c := NewChooser(shards, rand.New(rand.NewPCG(seed, 1)))
		for range 2 {
			a := &TaskRequest{Need: drawResources(t, "need", 6), Spot: true}
			c.Begin("own", a)
			for range 4 {
				got := c.Next(nil)
				own := FullestFit(shards["own"], a)
				if own != nil && got != own {
					t.Fatal("not the own part's")
				}
				if got == nil && (FullestFit(shards["p"], a) != nil || FullestFit(shards["q"], a) != nil) {
					t.Fatal("room of a peer not found")
				}
				if got == nil {
					break
				}
				got.Free = got.Free.Sub(a.Need)
			}
		}
	})
}

// Nobody is stopped for room that is not enough, and nobody needlessly.
func TestPreempt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, need := drawResources(t, "free", 4), drawResources(t, "need", 8)
		var v []Victim
		all := free
		for i := range rapid.IntRange(0, 5).Draw(t, "victims") {
			v = append(
				v,
				Victim{Task: fmt.Sprint(i), Room: drawResources(t, "room", 6), Cost: float64(rapid.IntRange(0, 9).Draw(t, "cost"))},
			)
			all = all.Add(v[i].Room)
		}
		take, _ := Preempt(free, need, slices.Clone(v))
		if free.Fits(need) && len(take) > 0 {
			t.Fatal("stopped for room that was free")
		}
		got := free
		for _, x := range take {
			got = got.Add(x.Room)
		}
		if len(take) > 0 && !got.Fits(need) {
			t.Fatal("stopped for nothing")
		}
		if !free.Fits(need) && all.Fits(need) && len(take) == 0 {
			t.Fatal("room that could be made was not")
		}
		for _, x := range take {
			if got.Sub(x.Room).Fits(need) {
				t.Fatal("stopped needlessly")
			}
		}
	})
}

// What is rented, with what is coming, holds all unmet tasks that an offer fits,
// and no machine is rented that stays empty.
func TestPlanRentals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Resources{4, 2, 8}
		offers := []Offer{{"m", "x", false, c, 3}, {"m", "x", true, c, 1}, {"m", "y", false, c, 3}}
		u := []UnmetDemand{{
			Request: TaskRequest{Need: Resources{1, 1, 1}, Spot: rapid.Bool().Draw(t, "loaners")},
			Count:   rapid.IntRange(0, 9).Draw(t, "count"),
		}}
		coming := []*Host{}
		for range rapid.IntRange(0, 2).Draw(t, "coming") {
			coming = append(coming, &Host{Name: "c", MachineType: "m", Zone: "x", Cap: c, Free: c})
		}
		slots := 2 * len(coming)
		n := 0
		for _, o := range PlanRentals(u, coming, offers, "y") {
			n += o.Count
			if o.Offer.Spot != u[0].Request.Spot || !o.Offer.Spot && o.Offer.Zone != "y" {
				t.Fatalf("not the cheapest, or not at home: %+v", o)
			}
		}
		want := max(0, u[0].Count-slots)
		if n != (want+1)/2 {
			t.Fatalf("%d machines for %d tasks", n, want)
		}
		if got := PlanRentals(u, nil, nil, "y"); got != nil {
			t.Fatalf("rented without offers: %v", got)
		}
	})
}

// Shares of a limit, taken and given back by shards in any order, never sum up to
// more than the limit, cover what is used, and keep little from the others when
// the limit is near.
func TestQuotaShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Resources{GPUs: float64(rapid.IntRange(1, 200).Draw(t, "limit"))}
		held, use := [3]Resources{}, [3]Resources{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			p := rapid.IntRange(0, 2).Draw(t, "part")
			others := held[(p+1)%3].Add(held[(p+2)%3])
			want := max(0, use[p].GPUs+float64(rapid.IntRange(-9, 9).Draw(t, "change")))
			if n := (Resources{GPUs: want}); WithinQuota(limit, held[p], n) {
				use[p] = n
			} else if h, ok := QuotaShare(limit, others, n); ok {
				held[p], use[p] = h, n
			} else if others.GPUs+want <= limit.GPUs {
				t.Fatalf("%v refused of %v with %v held elsewhere", want, limit.GPUs, others.GPUs)
			}
			if HoldsExcessQuota(limit, others, held[p], use[p]) {
				h, ok := QuotaShare(limit, others, use[p])
				if !ok {
					t.Fatal("can't give back")
				}
				if held[p] = h; HoldsExcessQuota(limit, others, h, use[p]) {
					t.Fatal("gives back too little")
				}
			}
			sum := 0.0
			for q := range 3 {
				sum += held[q].GPUs
				if !WithinQuota(limit, held[q], use[q]) {
					t.Fatalf("uses %v of %v", use[q], held[q])
				}
			}
			if sum > limit.GPUs+eps {
				t.Fatalf("%v held of %v", sum, limit.GPUs)
			}
		}
	})
}

// The gang of the paper's Algorithm 2: it sleeps after a miss, what it sees while it
// sleeps is none, and it releases all claims after more misses in a row than the retry
// count.
func TestGangRetry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		g := NewGangRetry()
		misses := 0
		var until time.Time
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(_ *rapid.T) {
				g.Claimed()
				misses, until = 0, time.Time{}
			},
			"miss": func(t *rapid.T) {
				asleep := now.Before(until)
				if !asleep {
					misses++
					until = now.Add(InitialSleep)
				}
				rel := g.Missed(now)
				if rel != (!asleep && misses > InitialMaxMisses) {
					t.Fatalf("releases %t after %d misses, asleep %t", rel, misses, asleep)
				}
				if rel {
					misses = 0
					if !g.Released {
						t.Fatal("does not go before newer ones")
					}
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
		})
	})
}

// Seats for a gang take no more room than there is, leave none empty that had some, and
// giving them back restores all.
func TestAssignGang(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &TaskRequest{Need: Resources{CPUs: 2, MemGB: 4}, Image: "i", FetchS: 3}
		shards := [][]*Host{nil, nil}
		var all []*Host
		before := map[*Host]Resources{}
		for i := range rapid.IntRange(0, 8).Draw(t, "hosts") {
			h := &Host{
				Name:  string(rune('a' + i)),
				Shard: string(rune('p' + i%2)),
				Zone:  string(rune('x' + i%2)),
				Cap:   Resources{CPUs: 8, GPUs: 2, MemGB: 64},
				Free: Resources{
					CPUs:  float64(rapid.IntRange(0, 8).Draw(t, "cpus")),
					GPUs:  float64(rapid.IntRange(0, 2).Draw(t, "gpus")),
					MemGB: 64,
				},
			}
			if rapid.Bool().Draw(t, "warm") {
				h.Images = map[string]bool{"i": true}
			}
			shards[i%2] = append(shards[i%2], h)
			all, before[h] = append(all, h), h.Free
		}
		n := rapid.IntRange(1, 12).Draw(t, "tasks")
		most := CountFits(all, a, 100)
		found := AssignGang(shards, a, make([]GangTask, n))
		if got := n - CountUnassigned(found); got != min(n, most) {
			t.Fatalf("%d seats of %d where %d fit", got, n, most)
		}
		for h := range before {
			if h.Free.CPUs < -eps {
				t.Fatalf("%s is overfull", h.Name)
			}
		}
		Unassign(found, a)
		for h, f := range before {
			if !h.Free.ApproxEqual(f) {
				t.Fatalf("%s has %v, had %v", h.Name, h.Free, f)
			}
		}
	})
}
