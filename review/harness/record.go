package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the time since the start of the case.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: f, started: time.Now()}, nil
}

func (r *recorder) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// summary writes a line to the record and to standard output.
func (r *recorder) summary(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

func (r *recorder) close() { _ = r.file.Close() }
