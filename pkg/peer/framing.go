package peer

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// HasUnambiguousFraming reports whether all parsers see the end of the request at the same place (request smuggling, RFC 9112,
// section 6.3) and its target is a plain path. An absolute target may also carry a user name, which the codec would turn
// into a header.
func HasUnambiguousFraming(req *fasthttp.Request) bool {
	uri := req.Header.RequestURI()
	if len(uri) == 0 || uri[0] != '/' {
		return false
	}
	lengths, encodings := 0, 0
	for raw := req.Header.RawHeaders(); len(raw) > 0; {
		var line []byte
		line, raw, _ = bytes.Cut(raw, []byte{'\n'})
		name, _, _ := bytes.Cut(line, []byte{':'})
		switch {
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Content-Length")):
			lengths++
		case bytes.EqualFold(bytes.TrimSpace(name), []byte("Transfer-Encoding")):
			encodings++
		}
	}
	return lengths+encodings <= 1
}
