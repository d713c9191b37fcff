package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// run is one run of a case: its record, its temporary folder and the processes that it started.
type run struct {
	trouble   bool
	directory string
	started   time.Time
	store     *store
	vms       []*vm
	// quiet leaves the lines of backends out of the record.
	quiet bool

	mu     sync.Mutex
	record *os.File
	closed bool
}

func newRun(folder string, trouble bool) (*run, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	return &run{trouble: trouble, directory: directory, started: time.Now(), record: record}, nil
}

// logf writes a line to the record.
func (r *run) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.closed {
		fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes that the run started and removes its temporary folder.
func (r *run) close() {
	for _, v := range r.vms {
		v.kill()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return
	}
	r.closed = true
	_ = r.record.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Fprintln(os.Stderr, "logs:", r.directory)
		return
	}
	_ = os.RemoveAll(r.directory)
}

// eventually waits until the condition holds.
func (r *run) eventually(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		require(time.Now().Before(end), "%s did not happen within %v", what, limit)
	}
}
