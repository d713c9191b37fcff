package ratelimit

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/httpclient"
	"github.com/bamboodeal/bamboodeal/api/response"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// leaseTimeout bounds an exchange, with the connection attempt. It is shorter than the 300 ms after which the borrower gives a
// request up, so that a connection without an answer is closed before the borrower asks again.
const leaseTimeout = 250 * time.Millisecond

// HTTPTransport is a Transport that sends JSON over HTTP. Each request is sent once: repeating it would lease twice, and the borrower
// decides when to ask again. StreamTransport uses it for handovers and for holders that have
// no lease streams.
type HTTPTransport struct {
	client *httpclient.SingleAttemptClient
}

// newDialer returns a dialer from the source address, or from any address if source is not valid.
func newDialer(source netip.Addr) *net.Dialer {
	dialer := &net.Dialer{Timeout: leaseTimeout}
	if source.IsValid() {
		dialer.LocalAddr = &net.TCPAddr{IP: source.AsSlice()}
	}
	return dialer
}

// NewHTTPTransport returns a transport that dials from the source address, or from any address if source is not valid.
func NewHTTPTransport(source netip.Addr) *HTTPTransport {
	return &HTTPTransport{httpclient.New(httpclient.Options{Dialer: newDialer(source), MaxBodyBytes: maxMessageSize})}
}

// RequestLease sends a lease request to the node at the control address.
func (c *HTTPTransport) RequestLease(address string, req wire.LeaseRequest) (wire.LeaseResponse, error) {
	return postJSON[wire.LeaseResponse](c.client, address, wire.PathQuotaLease, req)
}

// RequestHandover sends a handover request to the node at the control address.
func (c *HTTPTransport) RequestHandover(address string, req wire.HandoverRequest) (wire.HandoverResponse, error) {
	return postJSON[wire.HandoverResponse](c.client, address, wire.PathQuotaHandover, req)
}

// postJSON sends a message to a path of the address and decodes the response.
func postJSON[Response any](client *httpclient.SingleAttemptClient, address, path string, message any) (Response, error) {
	var answer Response
	body, err := json.Marshal(message)
	if err != nil {
		return answer, eris.Wrap(err, "cannot encode the quota request")
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetNoDefaultContentType(true)
	req.SetRequestURI(path)
	// Nodes are reached by IP and port, so the Host header has no meaning. A short name keeps the message short.
	req.Header.SetHost("node")
	req.SetBodyRaw(body)
	if err := client.Do(context.Background(), address, req, resp, leaseTimeout); err != nil {
		return answer, eris.Wrap(err, "the quota holder did not answer; check that its node runs and is reachable")
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return answer, eris.Errorf("the quota holder answered with status %d: %s", resp.StatusCode(), resp.Body())
	}
	if err := response.DecodeJSON(resp.Body(), &answer); err != nil {
		return answer, eris.Wrap(err, "the quota holder's response is not valid JSON; run the same release on all nodes")
	}
	return answer, nil
}

// Close closes the idle connections.
func (c *HTTPTransport) Close() { c.client.CloseIdleConnections() }
