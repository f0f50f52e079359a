package job

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"violetturn/internal/api"
	"violetturn/internal/numeric"
)

// recordWithNumbers is a main record with an inline task range; each %v is a number.
const recordWithNumbers = `{"r":{"uid":"run-1","lane":"l","owner":"o","shape":"sweep","rank":"idle","pieces":%v,` +
	`"cpus":%v,"gpus":%v,"memGb":%v,"bundle":"i","sizeGb":%v,"builds":null,"guessS":%v,"bookmarkS":%v,"stowS":%v,"dueS":%v},` +
	`"p":"n0","at":%v,"k":%v,"f":[%v,%v],"i":true,"o":{"c":3,"e":%v,"d":"AQ","p":{"%v":{"t":2,"m":"i-1","a":%v}}},` +
	`"n":%v,"h":%v,"e":{"t":1,"g":true,"a":%v,"r":%v,"f":%v}}`

// integerFields and amountFields are the positions of the integers and the amounts in recordWithNumbers.
var (
	integerFields = []int{0, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}
	amountFields  = []int{1, 2, 3, 4, 5, 6, 7, 8}
)

// drawRecord draws a main record with up to three numbers at the ends of their ranges.
func drawRecord(t *rapid.T) []byte {
	numbers := []any{6, 1.5, 1, 4, 2.5, 60, 30, 2, 90, 1_800_000_000_000, 4, 0, 1, 0, 1, 9, 0, 0, 5, 0, 0}
	for range rapid.IntRange(1, 3).Draw(t, "replacements") {
		if rapid.Bool().Draw(t, "integer") {
			field := rapid.SampledFrom(integerFields).Draw(t, "field")
			numbers[field] = rapid.SampledFrom([]int64{
				math.MinInt64, -1 << 31, -1, 0, 1, 512, api.MaxTasks, api.MaxTasks + 1, 1 << 31, math.MaxInt64 - 1, math.MaxInt64,
			}).Draw(t, "value")
		} else {
			field := rapid.SampledFrom(amountFields).Draw(t, "field")
			numbers[field] = rapid.SampledFrom([]string{"0", "5e-324", "1e9", "1e300", "1.7e308", "-1.7e308"}).Draw(t, "value")
		}
	}
	return fmt.Appendf(nil, recordWithNumbers, numbers...)
}

// Guards against recorded numbers that end the controllers which read them or occupy them for ever: a
// record is refused, or all that is calculated from it is within bounds and it can be recorded again.
func TestRecordsWithExtremeNumbersAreRefusedOrUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, err := ParseRecord(drawRecord(t))
		if err != nil {
			if !errors.Is(err, ErrNoTasks) && !errors.Is(err, ErrOutOfRange) {
				t.Fatalf("got error %v, want %v or %v", err, ErrNoTasks, ErrOutOfRange)
			}
			return
		}
		checkRangesOf(t, r)
		if r.Spec.SaveDurationS > numeric.MaxAmount || r.AcceptedMS < 0 || r.Gang.LaunchedS < 0 || r.Gang.ErrorStreak < 0 {
			t.Fatalf("got record %+v with gang %+v, want its numbers within bounds", r, r.Gang)
		}
		if raw, err := json.Marshal(r); err != nil || !strings.HasPrefix(string(raw), `{"r":`) {
			t.Fatalf("record can't be recorded again: %s, error %v", raw, err)
		}
	})
}

// checkRangesOf checks what is calculated from the numbers of a record's tasks and task ranges.
func checkRangesOf(t *rapid.T, r *Record) {
	count := r.RangeCount()
	if count < 1 || count > api.MaxTasks || r.FinishedTasks() > api.MaxTasks {
		t.Fatalf("got %d task ranges and %d finished tasks, want 1 to %d", count, r.FinishedTasks(), api.MaxTasks)
	}
	last := r.RangeLen(count - 1)
	if last < 1 || last > r.RangeSize || len(r.InlineRange.DoneFlags(last)) != last {
		t.Fatalf("got %d tasks in the last range, want 1 to %d", last, r.RangeSize)
	}
	if group, tasks := r.SpreadGroup(count - 1); group < 0 || tasks > api.MaxTasks {
		t.Fatalf("got spread group %d with %d tasks, want at least 0 and at most %d", group, tasks, api.MaxTasks)
	}
	for i, placement := range r.InlineRange.Placements {
		if i < 0 || i >= api.MaxTasks || placement.PlacedS < 0 || r.AcceptedMS+1000*placement.PlacedS < 0 {
			t.Fatalf("got task %d placed after %d s, want both within bounds", i, placement.PlacedS)
		}
	}
	r.FinishRange(0)
}

// A record with a placement that is null is refused: its readers would end.
func TestNullPlacementIsRefused(t *testing.T) {
	if _, err := ParseTaskRange([]byte(`{"p":{"0":null}}`)); !errors.Is(err, ErrOutOfRange) {
		t.Errorf("got error %v, want %v", err, ErrOutOfRange)
	}
}
