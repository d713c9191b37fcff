package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// staleLimit lowers the limit of a tenant. With trouble, the tenant sends many times its usual before and after.
func staleLimit(rec *recorder, trouble bool) (bool, error) {
	const (
		usualPerSecond = 60.0
		firstFactor    = 3.0
		secondFactor   = 4.4
		oldRate        = 96.0
		newRate        = 12.0
		spell          = 8 * time.Second
		connections    = 60
		key            = "6wsjnbanfqasnmgkcuyj"
	)
	m, err := newMesh(rec, []placement{{"juazeiro", "oficina"}, {"crato", "oficina"}}, func(b *backend) { b.work = 20 * time.Millisecond })
	if err != nil {
		return false, err
	}
	defer m.stop()
	routes := []route{{name: "r-1", prefix: "/wude451/", kind: "non_idempotent", service: "oficina", timeout: 1.5, target: 0.5, priority: 1, attempts: 2}}
	put := func(version int, rate float64) {
		m.putConfig(version, []string{"oficina"}, routes, []tenant{
			{name: "rahu160", keys: []string{key}, rate: rate, burst: rate},
		})
	}
	put(3, oldRate)
	if err := m.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var ids atomic.Uint64
	// send sends the tenant's requests to both nodes for the given time.
	send := func(perSecond float64, duration time.Duration) {
		rec.add("the tenant sends %.0f requests a second for %v", perSecond, duration)
		stop := make(chan struct{})
		time.AfterFunc(duration, func() { close(stop) })
		var group sync.WaitGroup
		for _, x := range m.machines {
			c := &client{
				entry: x.outbound(), host: host, path: "/wude451/a", method: "POST", key: key, deadline: 3 * time.Second, body: "order",
				ledger: m.ledger, rec: rec, ids: &ids,
			}
			group.Add(1)
			go func() {
				defer group.Done()
				c.run(perSecond/float64(len(m.machines)), connections, stop)
			}()
		}
		group.Wait()
	}
	send(usualPerSecond, 3*time.Second)
	var acked time.Time
	time.AfterFunc(2*time.Second, func() {
		put(9, newRate)
		acked = time.Now()
	})
	if trouble {
		// Two spells of the hot tenant follow each other without a pause.
		var second sync.WaitGroup
		second.Add(1)
		time.AfterFunc(spell, func() {
			defer second.Done()
			send((secondFactor-firstFactor)*usualPerSecond, spell)
		})
		send(firstFactor*usualPerSecond, 2*spell)
		second.Wait()
	} else {
		send(usualPerSecond, 2*spell)
	}
	send(usualPerSecond, 4*time.Second)
	rec.summary("answers: %s", counts(m.ledger.all()))
	// The lower limit binds one window after all nodes have been in touch for config_apply_s past the acknowledgement.
	const window = 5 * time.Second
	from := acked.Add(2*time.Second + window)
	allowed := (newRate*window.Seconds()+newRate)*1.25 + 20
	most, at := m.mostInWindow(from, window, func(a arrival) bool { return a.ran })
	rec.summary("from %.1f s on, at most %d requests of the tenant were sent and run in 5 s (from %.1f s); allowed: %.0f",
		from.Sub(rec.started).Seconds(), most, at.Sub(rec.started).Seconds(), allowed)
	return float64(most) > allowed, nil
}
