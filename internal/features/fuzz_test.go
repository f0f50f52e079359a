package features

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
)

// Whatever the file, it is refused in one line, or what it is read as passes the check again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(""))
	f.Add([]byte("[zone_recovery]\nenabled = true\nlongest = 12"))
	f.Add([]byte("[zone_recovery]\ndown_share = nan"))
	f.Add([]byte("[zone_recovrey]\nenabled = true"))
	f.Add([]byte("zone_recovery = 3"))
	f.Fuzz(func(t *testing.T, b []byte) {
		features, err := Parse(b)
		if err != nil {
			if features != nil || err.Error() == "" || strings.Contains(err.Error(), "\n") {
				t.Fatalf("%+v, %q", features, err)
			}
			return
		}
		form, err := toml.Marshal(features)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(form)
		if d := cmp.Diff(features, again); d != "" || err != nil {
			t.Fatalf("%v\n%s", err, d)
		}
	})
}
