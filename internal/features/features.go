// Package features reads the file that switches new behaviour on. What it leaves out stays off,
// or at its documented default. What it names and nobody knows is refused, unlike in the
// settings: the operators write this file, and a switch that is misspelt would do nothing.
//
// The file is read once, at the start; Features are never changed afterwards, so any goroutine
// may use them without a lock. Load refuses a file with one line that names the file, the
// setting and the reason.
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

// ZoneRecoveryName is the name of ZoneRecovery in the file, and how controllers tell each other
// that they have it on.
const ZoneRecoveryName = "zone_recovery"

// ZoneRecovery makes production work run again first when a zone returns. Shares are from 0 to 1,
// and times are in leases of the workers.
type ZoneRecovery struct {
	Enabled          bool    `toml:"enabled"`
	SuspectShare     float64 `toml:"suspect_share"`  // of a zone's machines lost: it is suspected
	DownShare        float64 `toml:"down_share"`     // of them lost: it is down, once confirmed
	ConfirmAfter     float64 `toml:"confirm"`        // time for which that has to last
	InitialShare     float64 `toml:"first_share"`    // of the zone that work of lower priority may take when it returns
	MinInitialShare  float64 `toml:"least_share"`    // the same after failures in a row, each of which halves it
	DoublingInterval float64 `toml:"double_every"`   // time after which the share doubles
	ProgressAfter    float64 `toml:"progress_after"` // time after which some machines are reserved no longer
	ProgressShare    float64 `toml:"progress_share"` // of the zone's machines, for which that holds
	MaxStateDuration float64 `toml:"longest"`        // time that a state lasts at most
}

// Features is what is switched on.
type Features struct {
	ZoneRecovery ZoneRecovery `toml:"zone_recovery"`
}

// Default returns all features off, with the settings that hold where a file names none.
func Default() *Features {
	return &Features{ZoneRecovery: ZoneRecovery{
		SuspectShare:     0.25,
		DownShare:        0.5,
		ConfirmAfter:     0.25,
		InitialShare:     1. / 16,
		MinInitialShare:  1. / 64,
		DoublingInterval: 0.25,
		ProgressAfter:    2,
		ProgressShare:    0.125,
		MaxStateDuration: 4,
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

// Parse reads and checks features. Its errors name the setting and the reason in one line.
func Parse(raw []byte) (*Features, error) {
	f := Default()
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(f); err != nil {
		return nil, describe(err)
	}
	if err := f.ZoneRecovery.check(); err != nil {
		return nil, err
	}
	return f, nil
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

// SettingError says what is wrong with one setting.
type SettingError struct {
	Setting string // its path, as in "zone_recovery.confirm"
	Reason  string
}

// Error implements error; it is one line.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Reason }

// check returns the first setting that is out of range.
func (z *ZoneRecovery) check() error {
	const share, unbounded = 1, math.MaxFloat64
	for _, x := range []struct {
		name    string
		value   float64
		largest float64 // it has to be above 0 and at most this
	}{
		{"suspect_share", z.SuspectShare, share},
		{"down_share", z.DownShare, share},
		{"confirm", z.ConfirmAfter, unbounded},
		{"first_share", z.InitialShare, share},
		{"least_share", z.MinInitialShare, share},
		{"double_every", z.DoublingInterval, unbounded},
		{"progress_after", z.ProgressAfter, unbounded},
		{"progress_share", z.ProgressShare, share},
		{"longest", z.MaxStateDuration, unbounded},
	} {
		if !(x.value > 0 && x.value <= x.largest) { // in this form NaN is refused too
			return refuse(x.name, fmt.Sprintf("%g is out of range", x.value))
		}
	}
	switch {
	case z.SuspectShare > z.DownShare:
		return refuse("suspect_share", "more than down_share")
	case z.MinInitialShare > z.InitialShare:
		return refuse("least_share", "more than first_share")
	case z.ProgressAfter > z.MaxStateDuration:
		return refuse("progress_after", "more than longest")
	}
	return nil
}

// refuse returns the error of a setting of zone recovery.
func refuse(name, reason string) error {
	return &SettingError{Setting: ZoneRecoveryName + "." + name, Reason: reason}
}
