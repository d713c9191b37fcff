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

// maxBarTime bounds a round in which the other candidates are asked to bar an identity; it is several round
// trips between data centres and leaves time of the call for its run.
const maxBarTime = time.Second

// bar asks every other candidate to bar the identity. When all did, clear is true.
func (c *Controller) bar(r *run) (d delivery.Decision, clear bool) {
	now := c.o.Clock.Now()
	others := c.o.Record.others(now, r.route.Service, r.in.Metadata.Identity, c.o.Upstream)
	round := delivery.NewBarRound(others)
	deadline := time.Now().Add(min(r.deadline-now, maxBarTime))
	answers := make([]*wire.BarIdentityResponse, len(others))
	var group conc.WaitGroup
	for i, name := range others {
		group.Go(func() {
			if answer, err := c.askBar(name, r.in.Metadata.Identity, deadline); err == nil {
				answers[i] = answer
			}
		})
	}
	group.Wait()
	for i, name := range others {
		if answers[i] == nil {
			round.RecordNoAnswer(name)
			continue
		}
		round.RecordVerdict(name, *answers[i])
	}
	round.Expire()
	if round.State() == delivery.BarRoundClear {
		return delivery.Decision{}, true
	}
	return round.Decision(), false
}

func (c *Controller) askBar(upstream, identity string, deadline time.Time) (*wire.BarIdentityResponse, error) {
	snap, kind := c.o.View.Current()
	if snap == nil {
		return nil, eris.Errorf("the view is not usable: %s", kind)
	}
	member, listed := snap.Members[upstream]
	if !listed {
		return nil, eris.Errorf("upstream %q is not in the member list", upstream)
	}
	conn, err := c.o.PeerPool.Acquire(Target{Address: member.PeerAddress, Upstream: upstream}, deadline, false)
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
		return nil, eris.Errorf("status %d", resp.StatusCode())
	}
	answer := &wire.BarIdentityResponse{}
	return answer, json.Unmarshal(resp.Body(), answer)
}
