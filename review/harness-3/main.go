// Command review-3 plays the cases of the third review that cannot be put as a day of the bench. It starts the project's
// nodes as processes on loopback, with stand-ins of the store, of backends and of clients.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitKept    = 0
	exitBroken  = 1
	exitNotRun  = 2
	nodeProgram = "target/bamboodeal-sidecar"
)

var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"cold":  playCold,
	"gone":  playGone,
	"quota": playQuota,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	broken, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.line("the case could not run: %v", err)
	case broken:
		r.line("result: the rule was broken")
	default:
		r.line("result: the rule held")
	}
	r.close()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		os.Exit(exitBroken)
	}
	os.Exit(exitKept)
}
