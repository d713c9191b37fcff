package distribution

import (
	"encoding/json"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
	"github.com/bamboodeal/bamboodeal/decision/membership"
)

const (
	// maxWaiting bounds the polls that are held at one time; further ones are answered at once. A node has 8
	// children, and a few more while others are dead.
	maxWaiting = 128
	// serverIdle is above the 10 s after which our clients close an idle connection.
	serverIdle = 60 * time.Second
	// serverWrite bounds the time for which a reader that stopped reading holds a connection.
	serverWrite = 5 * time.Second
)

// versionAnswer is the answer on wire.PathVersion.
type versionAnswer struct {
	Version wire.VersionID `json:"version"`
	Members uint64         `json:"members"`
	Ready   bool           `json:"ready"`
}

// ConfigureServer sets the options of the control port's server that keep idle polls small and bound the time that
// a connection may hold.
func ConfigureServer(s *fasthttp.Server) {
	s.NoDefaultServerHeader = true
	s.NoDefaultDate = true
	s.NoDefaultContentType = true
	s.IdleTimeout = serverIdle
	s.WriteTimeout = serverWrite
	s.MaxRequestBodySize = 1 << 16
	s.CloseOnShutdown = true
}

// ControlHandler serves wire.PathPoll and wire.PathVersion, and 404 for any other path. A poll waits for at most 2 s
// and ends at once when the node stops.
func (m *Syncer) ControlHandler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch string(ctx.Path()) {
		case wire.PathConfigPoll:
			m.servePoll(ctx)
		case wire.PathConfigVersion:
			m.serveVersion(ctx)
		default:
			ctx.Error("no such path on the control port", fasthttp.StatusNotFound)
		}
	}
}

func (m *Syncer) serveVersion(ctx *fasthttp.RequestCtx) {
	s := m.state.Load()
	data, err := json.Marshal(versionAnswer{Version: s.version(), Members: s.members.revision(), Ready: m.Ready()})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

func (m *Syncer) servePoll(ctx *fasthttp.RequestCtx) {
	p, err := readPollRequest(ctx.QueryArgs())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	m.ObserveVersion(p.have, p.address)
	s := m.await(&p)
	now := m.now()
	answer, err := s.answer(&p, now)
	if err == nil {
		answer.Unconfirmed = !m.o.Freshness.ViewConfirmedWithin(now, membership.FreshnessLimit)
		err = answer.write(&ctx.Response)
	}
	if err != nil {
		m.o.Log.WithError(err).Error("a poll cannot be answered")
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

// await returns the state that answers a request: at once when it has news, or after the wait.
func (m *Syncer) await(p *pollRequest) *state {
	s := m.state.Load()
	wait := min(p.wait, decide.PollWait)
	if wait <= 0 || m.waiting.Add(1) > maxWaiting {
		if wait > 0 {
			m.waiting.Add(-1)
		}
		return s
	}
	defer m.waiting.Add(-1)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for !decide.ShouldAnswerAtOnce(p.have, s.version(), p.members, s.members.revision()) {
		select {
		case <-s.changed:
			s = m.state.Load()
		case <-timer.C:
			return s
		case <-m.stopped:
			return s
		}
	}
	return s
}
