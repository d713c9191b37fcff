package peer

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// HasUnambiguousFraming reports whether every HTTP parser finds the end of the request at the same place and the
// request target is a path. Requests with ambiguous ends allow request smuggling (RFC 9112, section 6.3). An absolute
// target may carry a user name, which fasthttp would turn into an Authorization header.
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
