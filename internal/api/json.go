package api

import (
	"encoding/json"
	"fmt"
)

// MustMarshal encodes a value of a type that can always be encoded. It panics if encoding fails.
func MustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("api: %v", err)) // a programming error: v cannot be encoded
	}
	return b
}
