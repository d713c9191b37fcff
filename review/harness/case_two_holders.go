package main

import (
	"sync"
	"sync/atomic"
	"time"
)

// twoHolders has a tenant that sends many times its usual. With trouble, the zones of the two machines are cut off from
// each other by resets for some seconds.
func twoHolders(rec *recorder, trouble bool) (bool, error) {
	const (
		usualPerSecond = 25.0
		hotFactor      = 7.5
		rate           = 40.0
		spell          = 6500 * time.Millisecond
		cutTime        = 5 * time.Second
		window         = 5 * time.Second
		key            = "6wsjnbanfqasnmgkcuyj"
	)
	m, err := newMesh(rec, []placement{{"juazeiro", "oficina"}, {"crato", "oficina"}}, func(b *backend) { b.work = 20 * time.Millisecond })
	if err != nil {
		return false, err
	}
	defer m.stop()
	if err := m.putProxies(); err != nil {
		return false, err
	}
	m.putConfig(3, []string{"oficina"}, []route{
		{name: "r-1", prefix: "/wude451/", kind: "non_idempotent", service: "oficina", timeout: 1.5, target: 0.5, priority: 1, attempts: 2},
	}, []tenant{{name: "rahu160", keys: []string{key}, rate: rate, burst: rate}})
	if err := m.start(); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var ids atomic.Uint64
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
				c.run(perSecond/float64(len(m.machines)), 40, stop)
			}()
		}
		group.Wait()
	}
	send(usualPerSecond, 3*time.Second)
	var healed sync.WaitGroup
	if trouble {
		rec.add("the zones are cut off from each other by resets")
		for _, x := range m.machines {
			x.peerProxy.cut()
		}
		healed.Add(1)
		time.AfterFunc(cutTime, func() {
			defer healed.Done()
			for _, x := range m.machines {
				if err := x.peerProxy.open(); err != nil {
					rec.add("the cut does not end: %v", err)
				}
			}
			rec.add("the zones reach each other again")
		})
	}
	send(hotFactor*usualPerSecond, spell)
	send(usualPerSecond, 4*time.Second)
	healed.Wait()
	rec.summary("answers: %s", counts(m.ledger.all()))
	allowed := (rate*window.Seconds()+rate)*1.25 + 20
	most, at := m.mostInWindow(rec.started, window, func(a arrival) bool { return a.ran })
	rec.summary("at most %d requests of the tenant were sent and run in 5 s (from %.1f s); allowed: %.0f", most, at.Sub(rec.started).Seconds(), allowed)
	return float64(most) > allowed, nil
}
