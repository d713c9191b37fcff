package sidecar

import (
	"encoding/json"
	"time"

	"github.com/klauspost/compress/s2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/pkg/mesh"
	"github.com/bamboodeal/bamboodeal/pkg/peer"
)

const (
	feedPath = "/v1/feed"
	// feedTimeout is the time beyond the wait after which a reader counts as unresponsive.
	feedTimeout = 350 * time.Millisecond
	// compressAbove is the size in bytes above which a message between nodes is compressed.
	compressAbove = 512
	encodingName  = "s2"
)

// exchange sends a message to another node and reads its answer.
func exchange(pool *peer.Pool, address, path string, message, into any, timeout time.Duration) error {
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
	if _, err := conn.Send(req, resp, until, nil); err != nil {
		return err
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return eris.Errorf("the node answered with status %d; run the same release on all nodes", code)
	}
	answered := resp.Body()
	if string(resp.Header.ContentEncoding()) == encodingName {
		if answered, err = s2.Decode(nil, answered); err != nil {
			return eris.Wrap(err, "the node's answer cannot be decompressed; run the same release on all nodes")
		}
	}
	return json.Unmarshal(answered, into)
}

// readBody decodes a message; without success the response is complete.
func readBody(ctx *fasthttp.RequestCtx, into any) bool {
	if err := json.Unmarshal(ctx.PostBody(), into); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeBody(ctx *fasthttp.RequestCtx, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	if len(body) > compressAbove {
		body = s2.Encode(nil, body)
		ctx.Response.Header.SetContentEncoding(encodingName)
	}
	ctx.SetBody(body)
}

// feedRequest asks a reader for what changed after a position.
type feedRequest struct {
	mesh.Position
	WaitMS int64 `json:"t"`
}

// reader is another node as a source of what the store publishes.
type reader struct {
	n  *Node
	vm string
}

// PeerSource returns the node of a VM as a source.
func (n *Node) PeerSource(vm string) mesh.Source { return reader{n, vm} }

// Read asks the node.
func (r reader) Read(after mesh.Position, wait time.Duration) (d mesh.Delta, err error) {
	asked := r.n.o.Clock.Now()
	q := feedRequest{Position: after, WaitMS: wait.Milliseconds()}
	err = exchange(r.n.hops, r.vm+r.n.port, feedPath, q, &d, wait+feedTimeout)
	if err == nil && d.Revision == 0 {
		err = mesh.ErrReaderStale
	}
	if err == nil && len(d.Entries) > 0 {
		// The way back may take long on a narrow link; the age is counted from the reader's answer.
		d.StoreAge += r.n.o.Clock.Now() - asked - min(r.n.o.Clock.Now()-asked, wait)
	}
	return d, err
}

func (n *Node) serveFeed(ctx *fasthttp.RequestCtx) {
	var q feedRequest
	if readBody(ctx, &q) {
		writeBody(ctx, n.o.StoreChanges(q.Position, time.Duration(q.WaitMS)*time.Millisecond))
	}
}
