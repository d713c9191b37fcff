package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// request is one attempt of a caller.
type request struct {
	method, host, path, key string
	body                    []byte
	deadline                time.Duration
}

// answer is what a caller got. A status of 0 means that the connection ended without a complete answer.
type answer struct {
	id     string
	status int
	stamp  string
	body   []byte
	err    error
	sentAt time.Time
}

var lastID atomic.Uint64

// send sends a request to the node of a VM on a new connection.
func (v *vm) send(q request) answer {
	a := answer{id: fmt.Sprintf("q-%06d", lastID.Add(1)), sentAt: time.Now()}
	if q.deadline == 0 {
		q.deadline = 2 * time.Second
	}
	req, err := http.NewRequest(q.method, "http://"+v.callerAddress()+q.path, bytes.NewReader(q.body))
	must(err)
	req.Host = q.host
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	if q.key != "" {
		req.Header.Set("X-Api-Key", q.key)
	}
	client := http.Client{Timeout: q.deadline + time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err == nil {
		a.body, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	if a.err = err; err == nil {
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("Instance-Stamp")
	}
	v.r.logf("caller at %s: %s %s %s%s, key %q: status %d, stamp %q", v.name, a.id, q.method, q.host, q.path, q.key, a.status, a.stamp)
	return a
}
