package features

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// An invalid file gives a one-line error that names the setting. Settings that a file leaves out keep
// their documented defaults.
func TestParse(t *testing.T) {
	for _, tt := range []struct{ file, wantError string }{
		{"", ""},
		{"[zone_recovery]\nenabled = true", ""},
		{"[zone_recovery]\nenabled = true\nlongest = 12", ""},
		{"[zone_recovrey]\nenabled = true", "zone_recovrey: no such setting"},
		{"[zone_recovery]\nenable = true", "zone_recovery.enable: no such setting"},
		{"[zone_recovery]\nenabled = 1", "line 2"},
		{"[zone_recovery]\ndown_share = 1.5", "zone_recovery.down_share: 1.5 is out of range"},
		{"[zone_recovery]\ndown_share = nan", "zone_recovery.down_share: NaN is out of range"},
		{"[zone_recovery]\nconfirm = 0", "zone_recovery.confirm: 0 is out of range"},
		{"[zone_recovery]\nsuspect_share = 0.6", "suspect_share: more than down_share"},
		{"[zone_recovery]\nleast_share = 0.5", "least_share: more than first_share"},
		{"[zone_recovery]\nprogress_after = 5", "progress_after: more than longest"},
		{"[zone_recovery", "line 1"},
	} {
		f, err := Parse([]byte(tt.file))
		switch {
		case tt.wantError == "" && err != nil, tt.wantError != "" && (err == nil || !strings.Contains(err.Error(), tt.wantError)):
			t.Errorf("%q: Parse returned %v, want an error with %q (none if that is empty)", tt.file, err, tt.wantError)
		case err != nil && strings.Contains(err.Error(), "\n"):
			t.Errorf("%q: the error has more than one line: %v", tt.file, err)
		case err == nil && f.ZoneRecovery.SuspectShare != Default().ZoneRecovery.SuspectShare:
			t.Errorf("%q: suspect_share is %g, want %g", tt.file, f.ZoneRecovery.SuspectShare, Default().ZoneRecovery.SuspectShare)
		}
	}
}

// An empty path leaves all features off. A path of a file that does not exist is an error.
func TestLoad(t *testing.T) {
	if f, err := Load(""); err != nil || f.Names() != nil {
		t.Errorf("Load(\"\") returned %+v, %v, want all features off", f, err)
	}
	path := filepath.Join(t.TempDir(), "features.toml")
	if _, err := Load(path); err == nil {
		t.Error("Load returned no error for a file that does not exist")
	}
	if err := os.WriteFile(path, []byte("[zone_recovery]\nenabled = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(path); err != nil || len(f.Names()) != 1 || f.Names()[0] != ZoneRecoveryName {
		t.Errorf("Load returned %+v, %v, want only %s enabled", f, err, ZoneRecoveryName)
	}
}
