package peer

import (
	"bytes"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// ErrMalformedMetadata is returned for a forwarded call whose headers do not follow the protocol between nodes.
var ErrMalformedMetadata = eris.New("the headers of the forwarded call are not valid; run the same release on all nodes")

// CallMetadata holds the contents of the headers that nodes add to a forwarded call. Its strings are copies and stay
// valid after the request is released.
type CallMetadata struct {
	CallID string
	// Identity identifies all attempts of a call that may run only once; it is empty for other calls.
	Identity string
	Route    string
	Team     string
	// KeyID is empty for calls that did not enter on a public port.
	KeyID string
	// Upstream is the name of the upstream that the sender chose.
	Upstream string
	// Epoch is the epoch that the receiving node issued to the sender; it is empty for idempotent calls.
	Epoch string
	// SenderUpstream is the name of the sending node's own upstream.
	SenderUpstream string
	// Version is the version of the sender's configuration.
	Version wire.VersionID
	// RemainingTime is the time that the receiver has for the call, counted from its arrival.
	RemainingTime time.Duration
	// Attempt is the number of the attempt that the caller gave, or 0 if it gave none.
	Attempt int
	// Depth is 0 for a call that entered on a public port, and 1 more than that of the outer call for a call that an
	// upstream makes to serve another one.
	Depth int
	// RetriesLeft is the number of retries that the calls which the upstream makes to serve this one may still use.
	RetriesLeft int
}

// SetHeaders sets the metadata's headers on req. It must be called again before req is sent another time.
func (m *CallMetadata) SetHeaders(req *fasthttp.Request) {
	header := &req.Header
	header.Set(wire.HeaderCallID, m.CallID)
	setOrDelete(header, wire.HeaderIdentity, m.Identity)
	setNumber(header, wire.HeaderAttempt, int64(m.Attempt))
	header.Set(wire.HeaderRoute, m.Route)
	header.Set(wire.HeaderTeam, m.Team)
	setOrDelete(header, wire.HeaderKeyID, m.KeyID)
	header.Set(wire.HeaderUpstream, m.Upstream)
	setOrDelete(header, wire.HeaderEpoch, m.Epoch)
	header.Set(wire.HeaderSenderUpstream, m.SenderUpstream)
	header.Set(wire.HeaderVersion, m.Version.String())
	setNumber(header, wire.HeaderDeadlineMS, m.RemainingTime.Milliseconds())
	setNumber(header, wire.HeaderDepth, int64(m.Depth))
	setNumber(header, wire.HeaderRetriesLeft, int64(m.RetriesLeft))
}

// ReadCallMetadata reads the headers that SetHeaders sets. It returns ErrMalformedMetadata if they are not valid.
func ReadCallMetadata(header *fasthttp.RequestHeader) (*CallMetadata, error) {
	m := &CallMetadata{
		CallID:         string(header.Peek(wire.HeaderCallID)),
		Identity:       string(header.Peek(wire.HeaderIdentity)),
		Route:          string(header.Peek(wire.HeaderRoute)),
		Team:           string(header.Peek(wire.HeaderTeam)),
		KeyID:          string(header.Peek(wire.HeaderKeyID)),
		Upstream:       string(header.Peek(wire.HeaderUpstream)),
		Epoch:          string(header.Peek(wire.HeaderEpoch)),
		SenderUpstream: string(header.Peek(wire.HeaderSenderUpstream)),
	}
	version, err := wire.ParseVersionID(string(header.Peek(wire.HeaderVersion)))
	if err != nil {
		return nil, ErrMalformedMetadata
	}
	m.Version = version
	ms, err := readNumber(header, wire.HeaderDeadlineMS)
	if err != nil {
		return nil, err
	}
	m.RemainingTime = time.Duration(ms) * time.Millisecond
	if m.Attempt, err = readNumber(header, wire.HeaderAttempt); err != nil {
		return nil, err
	}
	if m.Depth, err = readNumber(header, wire.HeaderDepth); err != nil {
		return nil, err
	}
	if m.RetriesLeft, err = readNumber(header, wire.HeaderRetriesLeft); err != nil {
		return nil, err
	}
	if m.CallID == "" || m.Route == "" || m.Upstream == "" {
		return nil, ErrMalformedMetadata
	}
	return m, nil
}

// nodeOnlyHeaders are the headers that only nodes exchange. They are removed before a call is sent to the upstream.
var nodeOnlyHeaders = [...]string{
	wire.HeaderIdentity, wire.HeaderAttempt, wire.HeaderRoute, wire.HeaderKeyID, wire.HeaderUpstream,
	wire.HeaderEpoch, wire.HeaderVersion, wire.HeaderSenderUpstream,
}

// setUpstreamHeaders sets the five headers that an upstream receives and propagates with its own calls, with the time
// that remains now, and removes the headers that only nodes exchange.
func (m *CallMetadata) setUpstreamHeaders(req *fasthttp.Request, remaining time.Duration) {
	for _, name := range nodeOnlyHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(wire.HeaderCallID, m.CallID)
	req.Header.Set(wire.HeaderTeam, m.Team)
	setNumber(&req.Header, wire.HeaderDeadlineMS, remaining.Milliseconds())
	setNumber(&req.Header, wire.HeaderDepth, int64(m.Depth))
	setNumber(&req.Header, wire.HeaderRetriesLeft, int64(m.RetriesLeft))
}

func setOrDelete(header *fasthttp.RequestHeader, name, value string) {
	if value == "" {
		header.Del(name)
		return
	}
	header.Set(name, value)
}

func setNumber(header *fasthttp.RequestHeader, name string, n int64) {
	var buf [20]byte
	header.SetBytesV(name, strconv.AppendInt(buf[:0], n, 10))
}

func readNumber(header *fasthttp.RequestHeader, name string) (int, error) {
	n, err := fasthttp.ParseUint(header.Peek(name))
	if err != nil {
		return 0, ErrMalformedMetadata
	}
	return n, nil
}

// connectionHeaders are the headers that apply to one connection only and are not forwarded (RFC 9110, section 7.6.1).
// The header Connection itself is handled separately.
var connectionHeaders = [...]string{
	"Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Upgrade", "Expect",
}

// StripConnectionHeaders removes the headers that apply only to the sender's connection from a request, including those
// that its Connection header lists, and its trailers.
func StripConnectionHeaders(req *fasthttp.Request) {
	for listed := req.Header.Peek("Connection"); len(listed) > 0; {
		var name []byte
		name, listed, _ = bytes.Cut(listed, []byte{','})
		if name = bytes.TrimSpace(name); len(name) > 0 && !bytes.EqualFold(name, []byte("Connection")) {
			req.Header.Del(string(name))
			// Del does not overwrite the value of the header, so listed stays valid.
		}
	}
	req.Header.Del("Connection")
	req.Header.ResetConnectionClose()
	for _, name := range connectionHeaders {
		req.Header.Del(name)
	}
	req.Header.Del("Trailer")
	_ = req.Header.SetTrailer("")
}

// stripResponseHeaders removes the headers that apply only to the sender's connection and all Bamboodeal headers from a
// response.
func stripResponseHeaders(resp *fasthttp.Response) {
	resp.Header.Del("Connection")
	resp.Header.ResetConnectionClose()
	for _, name := range connectionHeaders {
		resp.Header.Del(name)
	}
	StripBamboodealHeaders(&resp.Header)
}

// headerMap is implemented by the headers of requests and responses.
type headerMap interface {
	PeekKeys() [][]byte
	DelBytes(name []byte)
}

// StripBamboodealHeaders removes each header whose name starts with wire.HeaderPrefix, in upper or lower case.
func StripBamboodealHeaders(header headerMap) {
	// Deleting a header moves the entries but leaves the bytes of the names valid until a header is added.
	for _, name := range header.PeekKeys() {
		if len(name) >= len(headerPrefix) && bytes.EqualFold(name[:len(headerPrefix)], headerPrefix) {
			header.DelBytes(name)
		}
	}
}

var headerPrefix = []byte(wire.HeaderPrefix)
