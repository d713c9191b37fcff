package main

import (
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// missedLeave lets a backend leave without a report of draining while the node from which its own node reads the store's
// contents is stopped and started again. With trouble, its own node is cut off from the store meanwhile.
func missedLeave(rec *recorder, trouble bool) (bool, error) {
	const (
		drain        = 2 * time.Second
		stableWindow = 3 * time.Second
		cutTime      = 5500 * time.Millisecond
		servesOn     = 14 * time.Second
		restartDelay = 700 * time.Millisecond
		// perSecond is the rate of requests at each node. All three backends get some of them.
		perSecond = 40.0
	)
	places := []placement{{"juazeiro", "oficina"}, {"juazeiro", "oficina"}, {"juazeiro", "oficina"}}
	m, err := newMesh(rec, places, func(b *backend) { b.work = 160 * time.Millisecond })
	if err != nil {
		return false, err
	}
	defer m.stop()
	m.putConfig(3, []string{"oficina"}, []route{
		{name: "r-1", prefix: "/wude451/", kind: "non_idempotent", service: "oficina", timeout: 1.5, target: 0.5, priority: 1, attempts: 2, public: true},
	}, nil)
	if err := m.start(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	reader, err := m.findReader()
	if err != nil {
		return false, err
	}
	rec.add("%s reads the store", reader.name)
	stop := make(chan struct{})
	var ids atomic.Uint64
	var group sync.WaitGroup
	for _, x := range m.machines {
		if x == reader {
			// The platform's clients send nothing to a node that is being restarted.
			continue
		}
		c := &client{
			entry: x.outbound(), host: host, path: "/wude451/a", method: "POST", deadline: 3 * time.Second, body: "order",
			ledger: m.ledger, rec: rec, ids: &ids,
		}
		group.Add(1)
		go func() {
			defer group.Done()
			c.run(perSecond, 24, stop)
		}()
	}
	time.Sleep(3 * time.Second)
	leaving := m.busiest(reader)
	rec.add("the backend %s beside %s will leave", leaving.backend.id, leaving.name)

	if trouble {
		rec.add("%s is cut off from the store", leaving.name)
		leaving.storeLink.setCut(true)
	}
	cutEnd := time.Now().Add(cutTime)
	reader.signal(syscall.SIGTERM)
	reader.awaitExit(6 * time.Second)
	leaving.backend.leaveWithoutNotice()
	acked := time.Now()
	rec.add("the store acknowledges that %s is gone", leaving.backend.id)
	time.Sleep(restartDelay)
	if err := reader.startNode(); err != nil {
		return false, err
	}
	time.Sleep(time.Until(cutEnd))
	if trouble {
		rec.add("%s reaches the store again", leaving.name)
		leaving.storeLink.setCut(false)
	}
	inTouch := cutEnd.Add(stableWindow)
	time.Sleep(time.Until(acked.Add(servesOn)))
	rec.add("the backend %s ends", leaving.backend.id)
	leaving.backend.stop()
	time.Sleep(time.Second)
	close(stop)
	group.Wait()

	sentFrom := map[string]sent{}
	for _, s := range m.ledger.all() {
		sentFrom[s.id] = s
	}
	late, before := 0, 0
	for _, a := range m.arrivals.all() {
		s, known := sentFrom[a.id]
		if a.backend != leaving.backend.id || !known || !a.at.After(acked.Add(drain)) {
			continue
		}
		if s.at.Before(inTouch) {
			before++
			continue
		}
		late++
	}
	rec.summary("answers: %s", counts(m.ledger.all()))
	rec.summary("requests that reached %s later than drain_s after the acknowledgement: %d, and %d sent before the node was in touch", leaving.backend.id, late, before)
	return late > 0, nil
}

// findReader returns the machine whose node reads the store.
func (m *mesh) findReader() (*machine, error) {
	before := map[*machine]int{}
	for _, x := range m.machines {
		before[x] = x.storeLink.callCount()
	}
	time.Sleep(2 * time.Second)
	var reader *machine
	most := 0
	for _, x := range m.machines {
		if n := x.storeLink.callCount() - before[x]; n > most {
			reader, most = x, n
		}
	}
	if reader == nil {
		return nil, errors.New("no node reads the store")
	}
	return reader, nil
}

// busiest returns the machine, other than except, whose backend has run the most requests.
func (m *mesh) busiest(except *machine) *machine {
	runs := map[string]int{}
	for _, a := range m.arrivals.all() {
		runs[a.backend]++
	}
	var best *machine
	for _, x := range m.machines {
		if x != except && (best == nil || runs[x.backend.id] > runs[best.backend.id]) {
			best = x
		}
	}
	return best
}
