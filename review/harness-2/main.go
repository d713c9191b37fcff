// Command review-2 runs the scripted cases of the second review. It starts node processes of the project on loopback addresses and
// plays the platform's store, the upstreams and the callers itself. It exits with 1 if a rule was broken, with 0 if it held and with
// 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailure = 2
	// maxRunTime ends a run that hangs.
	maxRunTime = 115 * time.Second
)

var cases = map[string]func(*run) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(exitFailure)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) (code int) {
	r, err := newRun(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "review-2:", err)
		return exitFailure
	}
	defer r.close()
	defer func() {
		if fault := recover(); fault != nil {
			r.logf("the case could not run: %v", fault)
			fmt.Fprintln(os.Stderr, "review-2:", fault)
			code = exitFailure
		}
	}()
	timeout := time.AfterFunc(maxRunTime, func() {
		r.logf("the case could not run: it took longer than %v", maxRunTime)
		r.close()
		os.Exit(exitFailure)
	})
	defer timeout.Stop()
	r.logf("case %s, disruption: %v", name, r.trouble)
	if cases[name](r) {
		r.logf("result: the rule held")
		return exitHeld
	}
	r.logf("result: the rule was broken")
	return exitBroken
}

// require ends the case with exitFailure unless the condition holds.
func require(condition bool, format string, args ...any) {
	if !condition {
		panic(fmt.Sprintf(format, args...))
	}
}

func must(err error) { require(err == nil, "%v", err) }
