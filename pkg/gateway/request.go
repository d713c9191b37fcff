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

// Bounds of a call's headers.
const (
	// maxIdentity is the longest Idempotency-Key in bytes.
	maxIdentity = 255
	// maxDepth bounds a chain of calls; the longest chain of the target size is 23 deep.
	maxDepth = 32
	// bearer starts the value of an Authorization header.
	bearer = "Bearer "
)

// checkFraming refuses requests whose end or target is in doubt.
func checkFraming(req *fasthttp.Request) wire.ErrorKind {
	if !peer.HasUnambiguousFraming(req) {
		return wire.KindMalformedRequest
	}
	return ""
}

// findRoute looks the route up by the path as sent. A path that an upstream could read in another way must lead
// to the same route in both readings, or an internal route would be open to the public.
func findRoute(set *config.Set, req *fasthttp.Request, public bool) (*config.Route, wire.ErrorKind) {
	method := string(req.Header.Method())
	raw, _, _ := bytes.Cut(req.Header.RequestURI(), []byte{'?'})
	route, mismatch := set.RouteFor(method, string(raw))
	if ambiguous(raw) {
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

func ambiguous(path []byte) bool {
	return bytes.IndexByte(path, '%') >= 0 || bytes.Contains(path, []byte("//")) || bytes.Contains(path, []byte("/.")) ||
		bytes.IndexByte(path, '\\') >= 0
}

// authenticate finds the declared key of the request; its secret is returned for removal and goes nowhere else.
func authenticate(set *config.Set, req *fasthttp.Request) (key *config.Key, secret []byte, kind wire.ErrorKind) {
	values := req.Header.PeekAll(fasthttp.HeaderAuthorization)
	switch {
	case len(values) == 0:
		return nil, nil, wire.KindNoKey
	case len(values) > 1:
		return nil, nil, wire.KindDuplicateKeyHeader
	case len(values[0]) <= len(bearer) || !strings.EqualFold(string(values[0][:len(bearer)]), bearer):
		return nil, nil, wire.KindNoKey
	}
	secret = bytes.TrimSpace(values[0][len(bearer):])
	key = set.KeyForSecret(string(secret))
	switch {
	case key == nil:
		return nil, nil, wire.KindUnknownKey
	case key.State != config.KeyGranted:
		return nil, nil, wire.KindKeyWithdrawn
	}
	return key, append([]byte(nil), secret...), ""
}

// stripSecret removes the key's header and any other header that repeats the key.
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

// identity reads the idempotency key and the attempt. Attempt 0 means that the caller did not say, which counts
// as a later attempt.
func identity(req *fasthttp.Request, team string) (id string, attempt int, kind wire.ErrorKind) {
	values := req.Header.PeekAll(wire.HeaderIdempotencyKey)
	switch {
	case len(values) > 1:
		return "", 0, wire.KindMalformedRequest
	case len(values) == 0 || len(values[0]) == 0:
		return team + "/" + randomID(), 1, ""
	case len(values[0]) > maxIdentity:
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

// contextNumber reads a number that the own upstream propagates.
func contextNumber(req *fasthttp.Request, name string, missing int) (int, wire.ErrorKind) {
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
