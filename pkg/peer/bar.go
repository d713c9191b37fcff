package peer

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	"github.com/bamboodeal/bamboodeal/decision/delivery"
)

// maxBarRoundTime bounds the time in which the other candidates are asked to bar an identity. It allows several round
// trips between data centres and leaves the call time to run.
const maxBarRoundTime = time.Second

// barElsewhere asks the nodes of all other upstreams at which the call's identity may run to bar the identity, which
// means to refuse calls with it from now on. If all of them did, cleared is true, and the call may run here. Otherwise
// the decision says why the call does not run.
func (c *Controller) barElsewhere(call *callState) (decision delivery.Decision, cleared bool) {
	now := c.options.Clock.Now()
	others := c.options.CallRecord.otherCandidates(now, call.route.Service, call.incoming.Metadata.Identity, c.options.Upstream)
	round := delivery.NewBarRound(others)
	deadline := time.Now().Add(min(call.deadline-now, maxBarRoundTime))
	responses := make([]*wire.BarIdentityResponse, len(others))
	var group conc.WaitGroup
	for i, name := range others {
		group.Go(func() {
			if response, err := c.requestBar(name, call.incoming.Metadata.Identity, deadline); err == nil {
				responses[i] = response
			}
		})
	}
	group.Wait()
	for i, name := range others {
		if responses[i] == nil {
			round.RecordNoAnswer(name)
			continue
		}
		round.RecordResponse(name, *responses[i])
	}
	round.Expire()
	if round.State() == delivery.BarRoundClear {
		return delivery.Decision{}, true
	}
	return round.Decision(), false
}

// requestBar asks the node of another upstream to bar the identity.
func (c *Controller) requestBar(upstream, identity string, deadline time.Time) (*wire.BarIdentityResponse, error) {
	snap, kind := c.options.View.Current()
	if snap == nil {
		return nil, eris.Errorf("the node's own configuration is not usable: %s", kind)
	}
	member, listed := snap.Members[upstream]
	if !listed {
		return nil, eris.Errorf("upstream %q is not in the member list", upstream)
	}
	conn, err := c.options.PeerPool.Acquire(Target{Address: member.PeerAddress, Upstream: upstream}, deadline, false)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(wire.BarIdentityRequest{Identity: identity})
	if err != nil {
		conn.Release()
		return nil, err
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetHost(member.PeerAddress)
	req.Header.SetRequestURI(wire.PathBarIdentity)
	req.SetBody(body)
	if _, err := conn.Send(req, resp, deadline, nil); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, eris.Errorf("the node answered the request to bar the identity with status %d", resp.StatusCode())
	}
	response := &wire.BarIdentityResponse{}
	return response, json.Unmarshal(resp.Body(), response)
}
