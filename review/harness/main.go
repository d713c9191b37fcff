// Command harness plays the cases of the review: it starts the project's node as separate processes on loopback
// addresses, with stand-ins of the platform's store, the backends and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the longest time that a case may take.
const timeLimit = 110 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. A case returns true if the rule was broken.
var cases = map[string]func(rec *recorder, trouble bool) (bool, error){
	"stale-limit":  staleLimit,
	"missed-leave": missedLeave,
	"two-holders":  twoHolders,
	"cold-again":   coldAgain,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(exitNotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	go endEarly(rec)
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](rec, trouble)
	code := exitHeld
	switch {
	case err != nil:
		rec.summary("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		rec.summary("the rule was broken")
		code = exitBroken
	default:
		rec.summary("the rule held")
	}
	rec.close()
	os.Exit(code)
}

// endEarly ends the program and all nodes when it is told to stop or takes too long.
func endEarly(rec *recorder) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case s := <-signals:
		rec.summary("stopped by %s", s)
	case <-time.After(timeLimit):
		rec.summary("stopped: the case takes too long")
	}
	killNodes()
	os.Exit(exitNotRun)
}
