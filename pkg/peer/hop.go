package peer

import (
	"bytes"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
)

// ErrMalformedMetadata is a forwarded call whose headers do not follow the protocol.
var ErrMalformedMetadata = eris.New("the headers of the forwarded call are not valid; run the same release on all nodes")

// CallMetadata is what the headers of a forwarded call say. Its strings are copies and outlive the request.
type CallMetadata struct {
	CallID   string
	Identity string
	Route    string
	Team     string
	// KeyID is empty for calls that did not enter on a public port.
	KeyID          string
	Upstream       string
	Epoch          string
	SenderUpstream string
	Version        wire.VersionID
	// RemainingTime is the time until the call's deadline when it was sent.
	RemainingTime time.Duration
	Attempt       int
	Depth         int
	RetriesLeft   int
}

// SetHeaders sets the headers of the hop on req. Callers that send the same request again call it again.
func (h *CallMetadata) SetHeaders(req *fasthttp.Request) {
	header := &req.Header
	header.Set(wire.HeaderCallID, h.CallID)
	setOrDel(header, wire.HeaderIdentity, h.Identity)
	setNumber(header, wire.HeaderAttempt, int64(h.Attempt))
	header.Set(wire.HeaderRoute, h.Route)
	header.Set(wire.HeaderTeam, h.Team)
	setOrDel(header, wire.HeaderKeyID, h.KeyID)
	header.Set(wire.HeaderUpstream, h.Upstream)
	setOrDel(header, wire.HeaderEpoch, h.Epoch)
	header.Set(wire.HeaderSenderUpstream, h.SenderUpstream)
	header.Set(wire.HeaderVersion, h.Version.String())
	setNumber(header, wire.HeaderDeadlineMS, h.RemainingTime.Milliseconds())
	setNumber(header, wire.HeaderDepth, int64(h.Depth))
	setNumber(header, wire.HeaderRetriesLeft, int64(h.RetriesLeft))
}

// ReadCallMetadata reads the headers that Write sets.
func ReadCallMetadata(header *fasthttp.RequestHeader) (*CallMetadata, error) {
	h := &CallMetadata{
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
	h.Version = version
	ms, err := number(header, wire.HeaderDeadlineMS)
	if err != nil {
		return nil, err
	}
	h.RemainingTime = time.Duration(ms) * time.Millisecond
	if h.Attempt, err = number(header, wire.HeaderAttempt); err != nil {
		return nil, err
	}
	if h.Depth, err = number(header, wire.HeaderDepth); err != nil {
		return nil, err
	}
	if h.RetriesLeft, err = number(header, wire.HeaderRetriesLeft); err != nil {
		return nil, err
	}
	if h.CallID == "" || h.Route == "" || h.Upstream == "" {
		return nil, ErrMalformedMetadata
	}
	return h, nil
}

// hopOnlyHeaders are removed before the upstream sees a call.
var hopOnlyHeaders = [...]string{
	wire.HeaderIdentity, wire.HeaderAttempt, wire.HeaderRoute, wire.HeaderKeyID, wire.HeaderUpstream,
	wire.HeaderEpoch, wire.HeaderVersion, wire.HeaderSenderUpstream,
}

// writeUpstream leaves only the five headers that an upstream sees and propagates with its own calls, with the time
// that remains now.
func (h *CallMetadata) writeUpstream(req *fasthttp.Request, remaining time.Duration) {
	for _, name := range hopOnlyHeaders {
		req.Header.Del(name)
	}
	req.Header.Set(wire.HeaderCallID, h.CallID)
	req.Header.Set(wire.HeaderTeam, h.Team)
	setNumber(&req.Header, wire.HeaderDeadlineMS, remaining.Milliseconds())
	setNumber(&req.Header, wire.HeaderDepth, int64(h.Depth))
	setNumber(&req.Header, wire.HeaderRetriesLeft, int64(h.RetriesLeft))
}

func setOrDel(header *fasthttp.RequestHeader, name, value string) {
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

func number(header *fasthttp.RequestHeader, name string) (int, error) {
	n, err := fasthttp.ParseUint(header.Peek(name))
	if err != nil {
		return 0, ErrMalformedMetadata
	}
	return n, nil
}

// connectionHeaders belong to one connection and are not forwarded (RFC 9110, section 7.6.1).
var connectionHeaders = [...]string{
	"Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Upgrade", "Expect",
}

// StripConnectionHeaders removes the headers of the sender's connection from a request, also those that its Connection
// header lists, and its trailers.
func StripConnectionHeaders(req *fasthttp.Request) {
	for listed := req.Header.Peek("Connection"); len(listed) > 0; {
		var name []byte
		name, listed, _ = bytes.Cut(listed, []byte{','})
		if name = bytes.TrimSpace(name); len(name) > 0 && !bytes.EqualFold(name, []byte("Connection")) {
			req.Header.Del(string(name))
			// Del reuses no memory of the value, so listed stays valid.
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

// stripResponse removes the headers of the sender's connection and all headers of the hop from a response.
func stripResponse(resp *fasthttp.Response) {
	resp.Header.Del("Connection")
	resp.Header.ResetConnectionClose()
	for _, name := range connectionHeaders {
		resp.Header.Del(name)
	}
	StripBamboodealHeaders(&resp.Header)
}

// headerList is what request and response headers have in common.
type headerList interface {
	PeekKeys() [][]byte
	DelBytes(name []byte)
}

// StripBamboodealHeaders removes each header whose name starts with the project's prefix, in any case.
func StripBamboodealHeaders(header headerList) {
	// Deletion moves the entries but leaves the bytes of the names in place until a header is added.
	for _, name := range header.PeekKeys() {
		if len(name) >= len(prefix) && bytes.EqualFold(name[:len(prefix)], prefix) {
			header.DelBytes(name)
		}
	}
}

var prefix = []byte(wire.HeaderPrefix)
