// Package features reads the features file, which enables new behaviour. A feature that the file
// does not enable stays off, and a setting that it leaves out keeps its documented default. Unlike
// in the settings file, unknown settings are an error: operators write this file, and a misspelt
// switch would have no effect.
//
// The file is read once at startup. Features is immutable afterwards, so any goroutine may use it
// without a lock. For an invalid file, Load returns a one-line error that names the file, the
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

// ZoneRecoveryName is the name of the zone recovery feature, in the features file and in the records
// by which controllers announce their enabled features to each other.
const ZoneRecoveryName = "zone_recovery"

// ZoneRecovery configures the recovery of a zone, in which production tasks are restarted first.
// Shares are from 0 to 1, and times are multiples of the workers' lease.
type ZoneRecovery struct {
	Enabled          bool    `toml:"enabled"`
	SuspectShare     float64 `toml:"suspect_share"`  // a zone that lost this share of its machines is suspected
	DownShare        float64 `toml:"down_share"`     // a zone that lost this share is down, once confirmed
	ConfirmAfter     float64 `toml:"confirm"`        // how long the loss has to last to be confirmed
	InitialShare     float64 `toml:"first_share"`    // share of a returned zone that work below production may use at first
	MinInitialShare  float64 `toml:"least_share"`    // lower bound of that share; each failure in a row halves it
	DoublingInterval float64 `toml:"double_every"`   // time after which that share doubles
	ProgressAfter    float64 `toml:"progress_after"` // time after which some machines are no longer reserved
	ProgressShare    float64 `toml:"progress_share"` // share of the zone's machines to which that applies
	MaxStateDuration float64 `toml:"longest"`        // longest time in the down or recovering state
}

// Features holds the features and their settings.
type Features struct {
	ZoneRecovery ZoneRecovery `toml:"zone_recovery"`
}

// Default returns the features with all of them off and with the default settings.
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

// Names returns the names of the enabled features.
func (f *Features) Names() []string {
	if f.ZoneRecovery.Enabled {
		return []string{ZoneRecoveryName}
	}
	return nil
}

// Load reads and checks a features file. An empty path leaves all features off. Errors are one line
// that names the file, the setting and the reason.
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

// Parse parses and checks features. Errors are one line that names the setting and the reason.
func Parse(raw []byte) (*Features, error) {
	f := Default()
	decoder := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := decoder.Decode(f); err != nil {
		return nil, singleLineError(err)
	}
	if err := f.ZoneRecovery.check(); err != nil {
		return nil, err
	}
	return f, nil
}

// singleLineError converts an error of the decoder to one line.
func singleLineError(err error) error {
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

// SettingError reports an invalid setting.
type SettingError struct {
	Setting string // path of the setting, as in "zone_recovery.confirm"
	Reason  string
}

// Error implements error. The text is one line.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Reason }

// check returns an error for the first setting that is out of range or contradicts another.
func (z *ZoneRecovery) check() error {
	const share, unbounded = 1, math.MaxFloat64
	for _, setting := range []struct {
		name  string
		value float64
		max   float64 // the value must be above 0 and at most this
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
		if !(setting.value > 0 && setting.value <= setting.max) { // written so that NaN is rejected too
			return newSettingError(setting.name, fmt.Sprintf("%g is out of range", setting.value))
		}
	}
	switch {
	case z.SuspectShare > z.DownShare:
		return newSettingError("suspect_share", "more than down_share")
	case z.MinInitialShare > z.InitialShare:
		return newSettingError("least_share", "more than first_share")
	case z.ProgressAfter > z.MaxStateDuration:
		return newSettingError("progress_after", "more than longest")
	}
	return nil
}

// newSettingError returns a SettingError of a zone recovery setting.
func newSettingError(name, reason string) error {
	return &SettingError{Setting: ZoneRecoveryName + "." + name, Reason: reason}
}
