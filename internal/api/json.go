package api

import (
	"encoding/json"
	"fmt"
)

// MustMarshal encodes a value that is known to encode.
func MustMarshal(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("api: %v", err)) // no type of ours can fail to encode
	}
	return b
}
