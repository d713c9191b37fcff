package response

import (
	"encoding/json"
	"errors"
)

// maxJSONElements bounds the elements of a body in JSON, because an element takes memory even if its text is "{}".
const maxJSONElements = 1 << 17

// ErrTooManyElements is the error of a body in JSON that would take too much memory.
var ErrTooManyElements = errors.New("the body of the response has too many elements; send a smaller body")

// DecodeJSON decodes a body into the value that into points to. The memory that this takes is bounded, like the size of the body.
func DecodeJSON(body []byte, into any) error {
	elements, inString, escaped := 0, false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString && b == '\\':
			escaped = true
		case b == '"':
			inString = !inString
		case b == ',' && !inString:
			elements++
		}
	}
	if elements >= maxJSONElements {
		return ErrTooManyElements
	}
	return json.Unmarshal(body, into)
}
