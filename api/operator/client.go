package operator

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/httpclient"
	"github.com/bamboodeal/bamboodeal/api/response"
)

// ErrNoAnswer means that a node's operator port gave no usable response. All errors of the client wrap it.
var ErrNoAnswer = eris.New("the node's operator port does not answer; check the address and the node's log")

// maxResponseBytes bounds a response. A status has a few hundred bytes, a burn report a few kilobytes.
const maxResponseBytes = 4 << 20

// Client reads the operator ports of nodes. It is safe for concurrent use.
type Client struct {
	timeout time.Duration
	client  *httpclient.SingleAttemptClient
}

// NewClient returns a client with a time limit for each call.
func NewClient(timeout time.Duration) *Client {
	return &Client{timeout: timeout, client: httpclient.New(httpclient.Options{MaxBodyBytes: maxResponseBytes})}
}

// Status reads the status of the node whose operator port is at the address, a host and port.
func (c *Client) Status(address string) (Status, error) {
	var s Status
	err := c.get(address, PathStatus, &s)
	return s, err
}

// BurnReport reads the burn report of the node whose operator port is at the address, a host and port.
func (c *Client) BurnReport(address string) (BurnReport, error) {
	var b BurnReport
	err := c.get(address, PathBurnReport, &b)
	return b, err
}

// get reads the JSON document at the path and decodes it into the value into.
func (c *Client) get(address, path string, into any) error {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + path)
	req.SetConnectionClose()
	if err := c.client.Do(context.Background(), address, req, resp, c.timeout); err != nil {
		return eris.Wrapf(ErrNoAnswer, "%s%s: %v", address, path, err)
	}
	if code := resp.StatusCode(); code != fasthttp.StatusOK {
		return eris.Wrapf(ErrNoAnswer, "%s%s: status %d", address, path, code)
	}
	if err := response.DecodeJSON(resp.Body(), into); err != nil {
		return eris.Wrapf(ErrNoAnswer, "%s%s: not the expected JSON: %v", address, path, err)
	}
	return nil
}
