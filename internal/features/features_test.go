package features

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Every mistake gives one line that names the setting, and a file that names little
// leaves the rest as documented.
func TestParse(t *testing.T) {
	for _, x := range []struct{ file, wrong string }{
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
		f, err := Parse([]byte(x.file))
		switch {
		case x.wrong == "" && err != nil, x.wrong != "" && (err == nil || !strings.Contains(err.Error(), x.wrong)):
			t.Errorf("%q: %v, not %q", x.file, err, x.wrong)
		case err != nil && strings.Contains(err.Error(), "\n"):
			t.Errorf("%q: more than one line: %v", x.file, err)
		case err == nil && f.ZoneRecovery.SuspectShare != Default().ZoneRecovery.SuspectShare:
			t.Errorf("%q: suspect_share is %g", x.file, f.ZoneRecovery.SuspectShare)
		}
	}
}

// No file is no features; a file that is not there is an error, not none.
func TestLoad(t *testing.T) {
	if f, err := Load(""); err != nil || f.Names() != nil {
		t.Error(f, err)
	}
	path := filepath.Join(t.TempDir(), "features.toml")
	if _, err := Load(path); err == nil {
		t.Error("a file that is not there is taken for none")
	}
	if err := os.WriteFile(path, []byte("[zone_recovery]\nenabled = true\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(path); err != nil || len(f.Names()) != 1 || f.Names()[0] != ZoneRecoveryName {
		t.Error(f, err)
	}
}
