// Package features reads the file that switches new behaviour on. What it leaves out stays
// off, or at its documented default; what it names and nobody knows is refused.
package features

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ZoneRecoveryName is how controllers tell each other that they have ZoneRecovery on.
const ZoneRecoveryName = "zone_recovery"

// ZoneRecovery has production work run again first when a zone returns. Times are ratios to
// the workers' lease.
type ZoneRecovery struct {
	Enabled       bool    `toml:"enabled"`
	SuspectShare  float64 `toml:"suspect_share"`  // of a zone's machines lost: it is suspected
	DownShare     float64 `toml:"down_share"`     // of them lost: it is down, once confirmed
	Confirm       float64 `toml:"confirm"`        // leases for which that has to last
	FirstShare    float64 `toml:"first_share"`    // of the zone that lower work may take when it returns
	LeastShare    float64 `toml:"least_share"`    // the same after failures in a row, each of which halves it
	DoubleEvery   float64 `toml:"double_every"`   // leases after which the share doubles
	ProgressAfter float64 `toml:"progress_after"` // leases after which some machines are reserved no longer
	ProgressShare float64 `toml:"progress_share"` // of the zone's machines
	Longest       float64 `toml:"longest"`        // leases that a state lasts at most
}

// Features is what is switched on.
type Features struct {
	ZoneRecovery ZoneRecovery `toml:"zone_recovery"`
}

// Default returns all features off, with the settings that hold where a file names none.
func Default() *Features {
	return &Features{ZoneRecovery: ZoneRecovery{
		SuspectShare:  0.25,
		DownShare:     0.5,
		Confirm:       0.25,
		FirstShare:    1. / 16,
		LeastShare:    1. / 64,
		DoubleEvery:   0.25,
		ProgressAfter: 2,
		ProgressShare: 0.125,
		Longest:       4,
	}}
}

// Names lists the features that are switched on.
func (f *Features) Names() []string {
	if f.ZoneRecovery.Enabled {
		return []string{ZoneRecoveryName}
	}
	return nil
}

// Load reads and checks a file; without one all is off. Its errors name file, field and
// reason in one line.
func Load(path string) (*Features, error) {
	if path == "" {
		return Default(), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("features: %w", err)
	}
	f, err := Parse(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return f, nil
}

// Parse reads and checks features.
func Parse(raw []byte) (*Features, error) {
	f := Default()
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(f); err != nil {
		return nil, describe(err)
	}
	return f, f.ZoneRecovery.check()
}

// describe puts an error of the decoder into one line.
func describe(err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) && len(strict.Errors) > 0 {
		return fmt.Errorf("%s: no such setting", strings.Join(strict.Errors[0].Key(), "."))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		line, _ := decode.Position()
		return fmt.Errorf("line %d: %w", line, err)
	}
	return fmt.Errorf("not valid: %w", err)
}

// check tells the first setting that is out of range.
func (z *ZoneRecovery) check() error {
	for _, x := range []struct {
		name       string
		value      float64
		over, most float64 // it has to be above the one and at most the other
	}{
		{"suspect_share", z.SuspectShare, 0, 1},
		{"down_share", z.DownShare, 0, 1},
		{"confirm", z.Confirm, 0, math.MaxFloat64},
		{"first_share", z.FirstShare, 0, 1},
		{"least_share", z.LeastShare, 0, 1},
		{"double_every", z.DoubleEvery, 0, math.MaxFloat64},
		{"progress_after", z.ProgressAfter, 0, math.MaxFloat64},
		{"progress_share", z.ProgressShare, 0, 1},
		{"longest", z.Longest, 0, math.MaxFloat64},
	} {
		if !(x.value > x.over && x.value <= x.most) { // so that no number that isn't one passes
			return fmt.Errorf("zone_recovery.%s: %g is out of range", x.name, x.value)
		}
	}
	switch {
	case z.SuspectShare > z.DownShare:
		return errors.New("zone_recovery.suspect_share: more than down_share")
	case z.LeastShare > z.FirstShare:
		return errors.New("zone_recovery.least_share: more than first_share")
	case z.ProgressAfter > z.Longest:
		return errors.New("zone_recovery.progress_after: more than longest")
	}
	return nil
}
