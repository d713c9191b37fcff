package sidecar

import (
	"encoding/json"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/decision/sources"
	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	storeChangesPath = "/v1/feed"
	// compressionThreshold is the size in bytes above which a message between nodes is compressed.
	compressionThreshold = 512
	s2Encoding           = "s2"
	// maxMessageSize is the size in bytes of the largest message between nodes, compressed or not. A message holds at
	// most all entries of the platform's store; each of these is limited to 1 MiB, and almost all are much smaller.
	maxMessageSize = 8 << 20
)

// errMessageTooLarge is the error of a message that is larger than maxMessageSize once it is decompressed.
var errMessageTooLarge = eris.New("the node's answer is too large when decompressed; run the same release on all nodes")

// postMessage sends a message as JSON to another node and decodes the response into the value that into points to.
func postMessage(pool *peer.Pool, address, path string, message, into any, timeout time.Duration) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost("n")
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI(path)
	req.SetBody(body)
	until := time.Now().Add(timeout)
	conn, err := pool.Acquire(peer.Target{Address: address}, until, false)
	if err != nil {
		return err
	}
	conn.LimitBody(maxMessageSize)
	if _, err := conn.Send(req, resp, until, nil); err != nil {
		return err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return eris.Errorf("the node answered with status %d; run the same release on all nodes", code)
	}
	answered := resp.Body()
	if string(resp.Header.ContentEncoding()) == s2Encoding {
		if size, err := s2.DecodedLen(answered); err == nil && size > maxMessageSize {
			return errMessageTooLarge
		}
		if answered, err = s2.Decode(nil, answered); err != nil {
			return eris.Wrap(err, "the node's answer cannot be decompressed; run the same release on all nodes")
		}
	}
	return response.DecodeJSON(answered, into)
}

// decodeMessage decodes the body of a request. If that fails, it sets the response's status and returns false.
func decodeMessage(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return false
	}
	return true
}

// writeMessage encodes the body of a response and compresses it if it is large.
func writeMessage(ctx *fasthttp.RequestCtx, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if len(body) > compressionThreshold {
		body = s2.Encode(nil, body)
		ctx.Response.Header.SetContentEncoding(s2Encoding)
	}
	ctx.SetBody(body)
}

// storeChangesRequest asks another node for what changed in the store after a position. WaitMS is how long the node may
// wait for changes, in milliseconds.
type storeChangesRequest struct {
	mesh.Position
	WaitMS int64 `json:"t"`
	// Eras says that the node knows eras of the store. Earlier releases don't.
	Eras bool `json:"eras"`
}

// positionIn returns the position, for a node whose contents are of the given era. A node of an earlier release counts
// as in the same era: as one in era 0 it would get all entries with each read.
func (r *storeChangesRequest) positionIn(era uint64) mesh.Position {
	p := r.Position
	if !r.Eras {
		p.Era = era
	}
	return p
}

// storeChangesResponse answers a storeChangesRequest.
type storeChangesResponse struct {
	mesh.Delta
	// Eras is the same as in the request.
	Eras bool `json:"eras,omitempty"`
	// SameLinks is set in place of Eras and of the digest of wide links, if the follower knows the same wide links. Only
	// nodes that state the digest of their contents understand it.
	SameLinks bool `json:"m,omitempty"`
}

// newStoreChangesResponse returns the response that carries a delta to a follower.
func newStoreChangesResponse(follower mesh.Position, d mesh.Delta) storeChangesResponse {
	if follower.ContentsDigest == 0 || d.WideLinksDigest != follower.WideLinksDigest {
		return storeChangesResponse{Delta: d, Eras: true}
	}
	d.WideLinksDigest = 0
	return storeChangesResponse{Delta: d, SameLinks: true}
}

// deltaAfter returns the delta. That of a node of an earlier release counts as of the era that was asked for: as one of
// era 0 it would be refused, and all nodes that are updated before their readers would read the store.
func (r *storeChangesResponse) deltaAfter(p mesh.Position) mesh.Delta {
	d := r.Delta
	switch {
	case r.SameLinks:
		d.WideLinksDigest = p.WideLinksDigest
	case !r.Eras && d.Revision > 0:
		d.Era = p.Era
	}
	return d
}

// peerSource reads the contents of the platform's store from another node.
type peerSource struct {
	node *Node
	vm   string
}

// PeerSource returns a source that reads the contents of the platform's store from the node of a VM, given by its IP.
func (n *Node) PeerSource(vm string) mesh.Source { return peerSource{n, vm} }

// Read returns what changed after a position. It returns mesh.ErrReaderStale if the other node has no recent contents.
func (s peerSource) Read(after mesh.Position, wait time.Duration) (d mesh.Delta, err error) {
	request, response := storeChangesRequest{Position: after, WaitMS: wait.Milliseconds(), Eras: true}, storeChangesResponse{}
	err = postMessage(s.node.peerPool, s.vm+s.node.peerPort, storeChangesPath, request, &response, wait+sources.AnswerMargin)
	d = response.deltaAfter(after)
	if err == nil && response.Revision == 0 && response.Era == 0 {
		err = mesh.ErrReaderStale
	}
	return d, err
}

// serveStoreChanges answers a storeChangesRequest.
func (n *Node) serveStoreChanges(ctx *fasthttp.RequestCtx) {
	var request storeChangesRequest
	if !decodeMessage(ctx, &request) {
		return
	}
	era := uint64(0)
	if n.o.StoreStatus != nil {
		era = n.o.StoreStatus().Era
	}
	follower := request.positionIn(era)
	delta := n.o.StoreChanges(follower, time.Duration(request.WaitMS)*time.Millisecond)
	writeMessage(ctx, newStoreChangesResponse(follower, delta))
}
