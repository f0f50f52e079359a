package api

import (
	"encoding/json"
	"fmt"
)

// JSON encodes a value that is known to encode.
func JSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("api: %v", err)) // no type of ours can fail to encode
	}
	return b
}
