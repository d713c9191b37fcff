package gateway

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	// maxIdempotencyKeyLength is the longest Idempotency-Key in bytes.
	maxIdempotencyKeyLength = 255
	// maxDepth bounds the depth of a chain of calls. At the target size, the longest chain is 23 deep.
	maxDepth = 32
	// bearerPrefix is the start of the value of an Authorization header with a key.
	bearerPrefix = "Bearer "
)

// checkFraming refuses a request whose end or target is ambiguous.
func checkFraming(req *fasthttp.Request) wire.ErrorKind {
	if !peer.HasUnambiguousFraming(req) {
		return wire.KindMalformedRequest
	}
	return ""
}

// findRoute returns the route that matches the path as it was sent. If an upstream could normalise the path to another
// one, both have to match the same route, or else a public call could reach an internal route.
func findRoute(set *config.Set, req *fasthttp.Request, public bool) (*config.Route, wire.ErrorKind) {
	method := string(req.Header.Method())
	raw, _, _ := bytes.Cut(req.Header.RequestURI(), []byte{'?'})
	route, mismatch := set.RouteFor(method, string(raw))
	if isAmbiguousPath(raw) {
		plain, _ := set.RouteFor(method, string(req.URI().Path()))
		if plain != route {
			return nil, wire.KindMalformedRequest
		}
	}
	switch {
	case route != nil && (route.Visibility == config.VisibilityPublic || !public):
		return route, ""
	case route == nil && mismatch:
		return nil, wire.KindMethodNotAllowed
	}
	return nil, wire.KindNoRoute
}

// isAmbiguousPath reports whether a path has escapes, empty or dot segments, or backslashes, which an upstream may
// normalise.
func isAmbiguousPath(path []byte) bool {
	return bytes.IndexByte(path, '%') >= 0 || bytes.Contains(path, []byte("//")) || bytes.Contains(path, []byte("/.")) ||
		bytes.IndexByte(path, '\\') >= 0
}

// authenticate returns the declared key of the request. It returns the secret as well, only so that the caller can
// remove it from the request.
func authenticate(set *config.Set, req *fasthttp.Request) (key *config.Key, secret []byte, kind wire.ErrorKind) {
	values := req.Header.PeekAll(fasthttp.HeaderAuthorization)
	switch {
	case len(values) == 0:
		return nil, nil, wire.KindNoKey
	case len(values) > 1:
		return nil, nil, wire.KindDuplicateKeyHeader
	case len(values[0]) <= len(bearerPrefix) || !strings.EqualFold(string(values[0][:len(bearerPrefix)]), bearerPrefix):
		return nil, nil, wire.KindNoKey
	}
	secret = bytes.TrimSpace(values[0][len(bearerPrefix):])
	key = set.KeyForSecret(string(secret))
	switch {
	case key == nil:
		return nil, nil, wire.KindUnknownKey
	case key.State != config.KeyGranted:
		return nil, nil, wire.KindKeyWithdrawn
	}
	return key, append([]byte(nil), secret...), ""
}

// stripSecret removes the Authorization header and every other header whose value contains the secret.
func stripSecret(req *fasthttp.Request, secret []byte) {
	req.Header.Del(fasthttp.HeaderAuthorization)
	if len(secret) == 0 {
		return
	}
	var names [][]byte
	for name, value := range req.Header.All() {
		if bytes.Contains(value, secret) {
			names = append(names, append([]byte(nil), name...))
		}
	}
	for _, name := range names {
		req.Header.DelBytes(name)
	}
}

// readIdentity returns the identity of a call, which is made from its team and its Idempotency-Key, and the number of
// the attempt. Attempt 0 means that the caller gave no number, which counts as a later attempt. Without an
// Idempotency-Key the identity is random and the attempt is 1.
func readIdentity(req *fasthttp.Request, team string) (id string, attempt int, kind wire.ErrorKind) {
	values := req.Header.PeekAll(wire.HeaderIdempotencyKey)
	switch {
	case len(values) > 1:
		return "", 0, wire.KindMalformedRequest
	case len(values) == 0 || len(values[0]) == 0:
		return team + "/" + randomID(), 1, ""
	case len(values[0]) > maxIdempotencyKeyLength:
		return "", 0, wire.KindMalformedRequest
	}
	id = team + "/" + string(values[0])
	attempts := req.Header.PeekAll(wire.HeaderAttempt)
	switch {
	case len(attempts) > 1:
		return "", 0, wire.KindMalformedRequest
	case len(attempts) == 0:
		return id, 0, ""
	}
	attempt, err := fasthttp.ParseUint(attempts[0])
	if err != nil {
		return "", 0, wire.KindMalformedRequest
	}
	return id, attempt, ""
}

// readContextNumber reads a header with a number that the node's own upstream propagates. Without the header it returns
// missing.
func readContextNumber(req *fasthttp.Request, name string, missing int) (int, wire.ErrorKind) {
	values := req.Header.PeekAll(name)
	if len(values) == 0 {
		return missing, ""
	}
	n, err := fasthttp.ParseUint(values[0])
	if len(values) > 1 || err != nil {
		return 0, wire.KindMalformedRequest
	}
	return n, ""
}

// randomID returns 128 random bits in hexadecimal.
func randomID() string {
	var bits [16]byte
	binary.LittleEndian.PutUint64(bits[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(bits[8:], rand.Uint64())
	return hex.EncodeToString(bits[:])
}
