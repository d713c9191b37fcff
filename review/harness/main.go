// Command harness plays the cases of the review: it starts the project's node as separate processes on loopback
// addresses, with stand-ins of the platform's store, the backends and the clients, and checks one rule.
package main

import (
	"fmt"
	"os"
)

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
