package features

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pelletier/go-toml/v2"
)

// FuzzParse checks that any features file is either rejected with a one-line error, or that the parsed
// features can be encoded and parsed again without a difference.
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
				t.Fatalf("Parse returned %+v, %q, want no features and one line that is not empty", features, err)
			}
			return
		}
		encoded, err := toml.Marshal(features)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Parse(encoded)
		if d := cmp.Diff(features, decoded); d != "" || err != nil {
			t.Fatalf("parsing the encoded features returned %v, difference:\n%s", err, d)
		}
	})
}
