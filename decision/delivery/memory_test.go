package delivery

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/bamboodeal/bamboodeal/api/wire"
	. "github.com/onsi/gomega"
)

// Guards against a full ledger that uses more than 64 MB, half of the 128 MB that a node may use besides traffic.
func TestMemoryWhenFull(t *testing.T) {
	g := NewWithT(t)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	l := newTestLedger(Config{})
	body := make([]byte, 1024)
	for i := range DefaultMaxRecords {
		r := firstAttempt(l, wellAfterStart, fmt.Sprintf("team-name/%036d", i))
		g.Expect(l.Accept(wellAfterStart, r).Verdict).To(Equal(VerdictRun))
		l.Finish(wellAfterStart, r.Identity, Result{Status: 200, Body: body})
	}
	records := heap()
	for i := range DefaultMaxRefusals + 1 {
		l.RefuseCall(wellAfterStart, fmt.Sprint(i), wire.KindOverloaded)
	}
	after := heap()
	t.Logf("records and responses %d MB, refusals %d MB", (records-before)>>20, (after-records)>>20)
	g.Expect(after - before).To(BeNumerically("<", 64<<20))
	runtime.KeepAlive(l)
}
