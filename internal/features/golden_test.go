package features

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
)

// The golden file was written with -update by the code of commit 1a43aa6.
var updateGolden = flag.Bool("update", false, "write the golden file instead of comparing with it")

// TestGoldenFeatures compares the parsed values of valid files, under their names in the file.
func TestGoldenFeatures(t *testing.T) {
	var got strings.Builder
	for _, tt := range []struct{ name, file string }{
		{"empty", ""},
		{"switched on", "[zone_recovery]\nenabled = true"},
		{"switched off, with a setting", "[zone_recovery]\nenabled = false\nconfirm = 0.75"},
		{"every setting", `[zone_recovery]
enabled = true
suspect_share = 0.2
down_share = 0.6
confirm = 0.5
first_share = 0.25
least_share = 0.125
double_every = 0.5
progress_after = 1.0
progress_share = 0.25
longest = 8.0`},
	} {
		f, err := Parse([]byte(tt.file))
		if err != nil {
			t.Fatalf("%s: Parse returned %v, want no error", tt.name, err)
		}
		encoded, err := toml.Marshal(f)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "=== %s\nnames %v\n%s\n", tt.name, f.Names(), encoded)
	}
	path := filepath.Join("testdata", "features.golden")
	if *updateGolden {
		if err := os.WriteFile(path, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), got.String()); d != "" {
		t.Errorf("%s differs (-want +got):\n%s", path, d)
	}
}
