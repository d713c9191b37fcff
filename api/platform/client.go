package platform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/httpclient"
	"github.com/bamboodeal/bamboodeal/api/response"
)

// Errors that Client returns in addition to those of Source.
var (
	// ErrStale means that the replica answered with an older revision than the one passed as after.
	ErrStale = errors.New("the platform's service answered with an older revision; ask another address")
	// ErrNotFound means that the service does not have the value, or that no manifest has been published.
	ErrNotFound = errors.New("the platform's service does not have this document; publish the whole bundle")
	// ErrMalformed means that the response does not follow the protocol.
	ErrMalformed = errors.New("the platform's response does not follow its protocol; check the address")
)

const (
	// defaultTimeout is the time limit of a request, in addition to the time for which the service may hold it. The
	// service otherwise answers within milliseconds.
	defaultTimeout = time.Second
	headerRevision = "X-Revision"
	// maxResponseBytes bounds a response, which carries one value of at most 1 MiB, a manifest or the list of members.
	maxResponseBytes = 16 << 20
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Addresses are base URLs such as http://10.0.0.1:7000. After a failure the following calls use the next address.
	Addresses []string
	// DialAddress is the local IP address from which connections are opened; when empty, the system chooses it.
	DialAddress string
	// Timeout is the time limit of a request, in addition to the wait that the call asks for; 0 means 1 s.
	Timeout time.Duration
}

// Client reads the platform's configuration service over HTTP. It is safe for concurrent use. Each call sends at most
// one request; the caller decides about retries.
type Client struct {
	hosts        []string
	paths        []string
	addressIndex atomic.Uint32
	timeout      time.Duration
	*httpclient.SingleAttemptClient
}

var _ Source = (*Client)(nil)

// NewClient returns a Client, or an error that states which address is invalid.
func NewClient(o ClientOptions) (*Client, error) {
	dialer, err := httpclient.DialerFrom(o.DialAddress)
	if err != nil {
		return nil, err
	}
	client := httpclient.New(httpclient.Options{Dialer: dialer, MaxBodyBytes: maxResponseBytes})
	c := &Client{timeout: o.Timeout, SingleAttemptClient: client}
	if c.timeout == 0 {
		c.timeout = defaultTimeout
	}
	if len(o.Addresses) == 0 {
		return nil, errors.New("no platform address; set platform_addresses to at least one base URL")
	}
	for _, address := range o.Addresses {
		u, err := url.Parse(address)
		if err != nil || u.Scheme != "http" || u.Hostname() == "" {
			return nil, fmt.Errorf("platform address %q is not a URL of the form http://host:port", address)
		}
		port := u.Port()
		if port == "" {
			port = "80"
		}
		c.hosts = append(c.hosts, net.JoinHostPort(u.Hostname(), port))
		c.paths = append(c.paths, u.Path)
	}
	return c, nil
}

// Manifest implements Source.
func (c *Client) Manifest(
	ctx context.Context, after uint64, wait time.Duration,
) (manifest []byte, revision uint64, changed bool, err error) {
	r, err := c.get(ctx, "/v1/config/manifest"+longPollQuery(after, wait), wait)
	if err != nil {
		return nil, 0, false, err
	}
	if r.hasRevision && r.revision < after {
		c.useNextAddress()
		return nil, 0, false, ErrStale
	}
	if r.status == fasthttp.StatusNotModified {
		return nil, after, false, nil
	}
	if !r.hasRevision {
		return nil, 0, false, fmt.Errorf("%w: the response with the manifest has no %s header", ErrMalformed, headerRevision)
	}
	return r.body, r.revision, true, nil
}

// Value implements Source. It verifies the digest and returns an error that wraps ErrMalformed on a mismatch.
func (c *Client) Value(ctx context.Context, digest string) ([]byte, error) {
	r, err := c.get(ctx, "/v1/config/values/"+url.PathEscape(digest), 0)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(r.body)
	if hex.EncodeToString(sum[:]) != digest {
		c.useNextAddress()
		return nil, fmt.Errorf("%w: the content for value %s has another digest", ErrMalformed, digest)
	}
	return r.body, nil
}

// Members implements Source.
func (c *Client) Members(ctx context.Context, after uint64, wait time.Duration) (*MemberList, error) {
	r, err := c.get(ctx, "/v1/members"+longPollQuery(after, wait), wait)
	if err != nil || r.status == fasthttp.StatusNotModified {
		return nil, err
	}
	list := &MemberList{}
	if err := response.DecodeJSON(r.body, list); err != nil {
		return nil, fmt.Errorf("%w: member list: %w", ErrMalformed, err)
	}
	if list.Revision < after {
		c.useNextAddress()
		return nil, ErrStale
	}
	return list, nil
}

// result holds the parts of an HTTP response that the calls use.
type result struct {
	status      int
	body        []byte
	revision    uint64
	hasRevision bool
}

// get sends one request to the current address and maps the status to the errors above. After a failed exchange or an
// unexpected status, the following calls use the next address.
func (c *Client) get(ctx context.Context, path string, wait time.Duration) (result, error) {
	i := int(c.addressIndex.Load()) % len(c.hosts)
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.hosts[i] + c.paths[i] + path)
	req.Header.SetNoDefaultContentType(true)
	if err := c.Do(ctx, c.hosts[i], req, resp, wait+c.timeout); err != nil {
		c.CloseIdleConnectionsTo(c.hosts[i])
		c.useNextAddress()
		return result{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	r := result{status: resp.StatusCode()}
	switch r.status {
	case fasthttp.StatusOK, fasthttp.StatusNotModified:
	case fasthttp.StatusTooManyRequests:
		return result{}, ErrReadLimit
	case fasthttp.StatusNotFound:
		return result{}, ErrNotFound
	default:
		c.useNextAddress()
		return result{}, fmt.Errorf("%w: status %d", ErrUnavailable, r.status)
	}
	// fasthttp reuses the response after this call, so the body is copied.
	r.body = append([]byte(nil), resp.Body()...)
	if text := string(resp.Header.Peek(headerRevision)); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			return result{}, fmt.Errorf("%w: %s %q", ErrMalformed, headerRevision, text)
		}
		r.revision, r.hasRevision = revision, true
	}
	return r, nil
}

// useNextAddress makes the following calls use the next address.
func (c *Client) useNextAddress() { c.addressIndex.Add(1) }

// longPollQuery returns the query that makes the service hold the request until its revision is above after, for at
// most wait; it is empty without a wait.
func longPollQuery(after uint64, wait time.Duration) string {
	if wait <= 0 {
		return ""
	}
	return "?after=" + strconv.FormatUint(after, 10) + "&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
}
