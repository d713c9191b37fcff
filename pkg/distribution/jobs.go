package distribution

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc/pool"
	"github.com/valyala/fasthttp"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/platform"
	"github.com/bamboodeal/bamboodeal/api/wire"
	decide "github.com/bamboodeal/bamboodeal/decision/distribution"
)

const (
	// readTimeout bounds a read of the source beyond its wait.
	readTimeout = time.Second
	// valuesTimeout bounds the reads of all values of one version.
	valuesTimeout = 10 * time.Second
	// valuesAtOnce bounds the reads of values at one time.
	valuesAtOnce = 4
)

// start runs a job beside the control goroutine; it is cancelled by a pause and by the stop of the node.
func (m *Syncer) start(timeout time.Duration, job func(ctx context.Context) result) {
	parent := m.jobsCtx
	m.jobs.Go(func() {
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		r := job(ctx)
		r.ctx = parent
		select {
		case m.results <- r:
		case <-m.stopped:
		}
	})
}

func (m *Syncer) startPoll(a decide.Poll) {
	s := m.state.Load()
	base := s.current
	if m.pending != nil && s.version().Less(m.pending.id) {
		base = m.pending
	}
	p := pollRequest{
		members: s.members.revision(), wait: a.Wait, contents: a.Contents, address: m.o.ControlAddress,
	}
	if base != nil {
		p.have = base.id
	}
	m.start(a.Timeout, func(ctx context.Context) result {
		answer, err := m.exchangePoll(ctx, a, &p)
		if err != nil {
			return result{events: []decide.Event{decide.PollFailed{ID: a.ID}}}
		}
		return m.readAnswer(a, &p, base, s.members, answer)
	})
}

func (m *Syncer) exchangePoll(ctx context.Context, a decide.Poll, p *pollRequest) (*pollAnswer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	p.write(req, a.Address)
	if a.NewConnection {
		m.exchanger.CloseIdleConnectionsTo(a.Address)
	}
	if err := m.exchanger.Do(ctx, a.Address, req, resp, a.Timeout); err != nil {
		m.exchanger.CloseIdleConnectionsTo(a.Address)
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.New("the node does not serve polls")
	}
	return readPollAnswer(resp)
}

// readAnswer checks what a node delivered, outside of the control goroutine.
func (m *Syncer) readAnswer(
	a decide.Poll, p *pollRequest, base *contents, list *members, answer *pollAnswer,
) result {
	e := decide.PollAnswered{ID: a.ID, Version: p.have, MembersRevision: answer.Members, ViewUnconfirmed: answer.Unconfirmed}
	if answer.Version != nil {
		e.Version = *answer.Version
	}
	if answer.AgeMS >= 0 {
		e.VersionConfirmed, e.ConfirmationAge = true, time.Duration(answer.AgeMS)*time.Millisecond
	}
	var c *contents
	if answer.Set != nil {
		c, e.SetStatus, e.Faults = readDelivery(answer.Set, e.Version, base)
	}
	var newer *members
	if answer.List != nil {
		// A broken list is left out; it is offered again with the next answer.
		newer, _ = answer.List.decode(list)
	}
	return result{
		events: []decide.Event{e},
		apply: func() {
			m.keep(c)
			m.setMembers(newer)
			if e.SetStatus == decide.InvalidSet {
				m.noteRejected(e.Version, e.Faults)
			}
		},
	}
}

func readDelivery(d *delivery, id wire.VersionID, base *contents) (*contents, decide.SetStatus, string) {
	manifest, values, err := d.decode(id, base)
	if err != nil {
		return nil, decide.IncompleteSet, err.Error()
	}
	return verify(manifest, values)
}

func (m *Syncer) startReadManifest(a decide.ReadManifest) {
	last := m.sources[a.Source]
	m.start(a.Wait+readTimeout, func(ctx context.Context) result {
		manifest, revision, changed, err := m.o.Sources[a.Source].Manifest(ctx, last.revision, a.Wait)
		if errors.Is(err, platform.ErrNotFound) {
			// A source without any manifest has answered that it has nothing.
			err, changed, manifest, revision = nil, true, nil, 0
		}
		if err != nil {
			return m.readFailed(a.ID, a.Source, err)
		}
		id, faults := identify(manifest)
		e := decide.ManifestRead{ID: a.ID, Version: id, Faults: faults}
		r := result{}
		r.apply = func() {
			m.noteSource(a.Source, nil)
			s := &m.sources[a.Source]
			if changed {
				s.revision, s.id, s.manifest, s.faults = revision, id, manifest, faults
				if faults != "" {
					m.noteRejected(id, faults)
				}
			}
		}
		if !changed {
			e.Version, e.Faults = last.id, last.faults
		}
		r.events = []decide.Event{e}
		return r
	})
}

// identify returns the version of a manifest, with its digest alone when it cannot be parsed.
func identify(manifest []byte) (id wire.VersionID, faults string) {
	if len(manifest) == 0 {
		return wire.VersionID{}, ""
	}
	id.Digest = bundle.Digest(manifest)
	parsed, err := bundle.ParseManifest(manifest)
	if err != nil {
		return id, err.Error()
	}
	id.Number = parsed.Version
	return id, ""
}

func (m *Syncer) startReadMembers(a decide.ReadMembers) {
	after := m.sources[a.Source].membersRevision
	m.start(a.Wait+readTimeout, func(ctx context.Context) result {
		list, err := m.o.Sources[a.Source].Members(ctx, after, a.Wait)
		if err != nil {
			return m.readFailed(a.ID, a.Source, err)
		}
		var newer *members
		if list != nil {
			newer, err = newMembers(list)
		}
		if err != nil {
			return m.readFailed(a.ID, a.Source, err)
		}
		return result{
			events: []decide.Event{decide.MembersRead{ID: a.ID}},
			apply: func() {
				if newer != nil {
					m.sources[a.Source].membersRevision = newer.revision()
					m.setMembers(newer)
				}
			},
		}
	})
}

func (m *Syncer) readFailed(id uint64, source int, err error) result {
	return result{
		events: []decide.Event{decide.ReadFailed{ID: id}},
		apply: func() {
			m.noteSource(source, err)
			if errors.Is(err, platform.ErrStale) {
				// The revisions may have started again, so the next read asks for whatever there is.
				m.sources[source].revision, m.sources[source].membersRevision = 0, 0
			}
		},
	}
}

func (m *Syncer) startReadValues(a decide.ReadValues) {
	var manifest []byte
	for i := range m.sources {
		if m.sources[i].id == a.Version {
			manifest = m.sources[i].manifest
		}
	}
	known := m.state.Load().known(m.pending)
	m.start(valuesTimeout, func(ctx context.Context) result {
		values, err := m.readValues(ctx, a.Source, manifest, known)
		if err != nil {
			return m.readFailed(a.ID, a.Source, err)
		}
		c, delivery, faults := verify(manifest, values)
		return result{
			events: []decide.Event{decide.ValuesRead{ID: a.ID, SetStatus: delivery, Faults: faults}},
			apply: func() {
				m.keep(c)
				if delivery == decide.InvalidSet {
					m.noteRejected(a.Version, faults)
				}
			},
		}
	})
}

// readValues returns all values of a manifest; those that the node holds are not read again.
func (m *Syncer) readValues(
	ctx context.Context, source int, manifest []byte, known map[string][]byte,
) (map[string][]byte, error) {
	parsed, err := bundle.ParseManifest(manifest)
	if err != nil {
		return nil, err
	}
	read := make([][]byte, len(parsed.Values))
	p := pool.New().WithMaxGoroutines(valuesAtOnce).WithContext(ctx).WithCancelOnError()
	for i, v := range parsed.Values {
		if known[v.Digest] != nil {
			read[i] = known[v.Digest]
			continue
		}
		p.Go(func(ctx context.Context) error {
			var err error
			read[i], err = m.o.Sources[source].Value(ctx, v.Digest)
			return err
		})
	}
	if err := p.Wait(); err != nil {
		return nil, err
	}
	values := make(map[string][]byte, len(read))
	for i, v := range parsed.Values {
		values[v.Digest] = read[i]
	}
	return values, nil
}
