package respond

import (
	"encoding/json"
	"math"
	"testing"
)

// Guards against the end of the process by a response with a number that JSON has no form for.
func TestResponseThatCannotBeEncodedIsAnError(t *testing.T) {
	for _, number := range []float64{math.Inf(1), math.Inf(-1), math.NaN()} {
		response := JSON(200, map[string]float64{"leewayS": number})
		if response.Status != StatusInternalError || !json.Valid(response.Body) {
			t.Errorf("response with %g: got status %d and body %q, want status %d and JSON",
				number, response.Status, response.Body, StatusInternalError)
		}
	}
	if response := JSON(200, map[string]float64{"leewayS": 4}); response.Status != 200 || string(response.Body) != `{"leewayS":4}` {
		t.Errorf("got status %d and body %q, want the value with status 200", response.Status, response.Body)
	}
}
