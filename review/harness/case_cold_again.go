package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// coldAgain makes a backend cold again, with trouble, while it gets a steady load.
func coldAgain(rec *recorder, trouble bool) (bool, error) {
	const (
		perSecond = 50.0
		coldTime  = 3 * time.Second
		// notice is the time that the nodes get to learn that the backend is cold before requests count.
		notice    = 300 * time.Millisecond
		crashRate = 45
	)
	m, err := newMesh(rec, []placement{{"juazeiro", "oficina"}, {"crato", "oficina"}}, nil)
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
	stop := make(chan struct{})
	var ids atomic.Uint64
	var group sync.WaitGroup
	for _, x := range m.machines {
		c := &client{
			entry: x.outbound(), host: host, path: "/wude451/a", method: "POST", deadline: 3 * time.Second, body: "order",
			ledger: m.ledger, rec: rec, ids: &ids,
		}
		group.Add(1)
		go func() {
			defer group.Done()
			c.run(perSecond, 16, stop)
		}()
	}
	time.Sleep(6 * time.Second)
	b := m.machines[0].backend
	b.awaitHealthCheck()
	if trouble {
		b.becomeCold(coldTime, crashRate)
	}
	acked := time.Now()
	rec.add("the backend %s is cold again (%v) and has told the store so", b.id, trouble)
	time.Sleep(coldTime)
	close(stop)
	group.Wait()

	bound := coldPerSecond*1.5 + 5
	most := 0
	if trouble {
		most, _ = m.mostInWindow(acked.Add(notice), time.Second, func(a arrival) bool {
			return a.backend == b.id && a.at.Before(acked.Add(coldTime))
		})
	}
	rec.summary("answers: %s", counts(m.ledger.all()))
	rec.summary("at most %d requests were sent and reached the cold backend in one second that began later than %v after the acknowledgement; allowed: %.1f; crashed: %v",
		most, notice, bound, b.hasCrashed())
	return float64(most) > bound, nil
}

// awaitHealthCheck returns just after the next health check of the backend.
func (b *backend) awaitHealthCheck() {
	calls := func() int {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.healthCalls
	}
	for n, until := calls(), time.Now().Add(5*time.Second); calls() == n && time.Now().Before(until); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(20 * time.Millisecond)
}

// becomeCold makes the backend cold and writes its entry. It crashes if it gets more than crashRate requests in a second.
func (b *backend) becomeCold(d time.Duration, crashRate int) {
	b.mu.Lock()
	b.coldUntil, b.crashRate, b.recent = time.Now().Add(d), crashRate, nil
	b.mu.Unlock()
	b.beat()
}

func (b *backend) hasCrashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crashed
}
