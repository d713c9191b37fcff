package operatorcli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/operator"
	"github.com/bamboodeal/bamboodeal/api/wire"
)

// startNode starts a server that returns one answer on a path of the operator port, and returns its address.
func startNode(t *testing.T, path string, answer any) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(answer) })
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// status returns the status of a node without problems.
func status(version uint64, digest string) operator.Status {
	return operator.Status{
		VM: "vm", Upstream: "u", DataCentre: "a", State: wire.StateServing, Ready: true, Limit: 10,
		Version: wire.VersionID{Number: version, Digest: strings.Repeat(digest, 64)},
	}
}

// The report must list each node that lags, has seen a conflict, has rejected a version, is not ready or does not
// answer.
func TestStatusListsProblems(t *testing.T) {
	g := NewWithT(t)
	good, lagging, conflict, rejecting, starting := status(7, "b"), status(6, "c"), status(7, "b"), status(7, "b"), status(7, "b")
	conflict.Conflict = &wire.VersionID{Number: 7, Digest: strings.Repeat("a", 64)}
	rejecting.Rejected = []string{"team \"t\": burst"}
	starting.Ready, starting.State, starting.ConfigAgeMS = false, wire.StateStarting, operator.UnknownAge
	addresses := make([]string, 0, 7)
	for _, s := range []operator.Status{good, lagging, conflict, rejecting, starting} {
		addresses = append(addresses, startNode(t, operator.PathStatus, s))
	}
	code, stdout, _ := run("status", "--nodes", addresses[0])
	g.Expect(code).To(Equal(0), stdout)
	addresses = append(addresses, startNode(t, operator.PathBurnReport, 0), startNode(t, operator.PathStatus, "text"))
	code, stdout, _ = run("status", "--nodes", strings.Join(addresses, ","))
	g.Expect(code).To(Equal(1))
	for i, want := range []string{
		1: "has version 6:cccccccc, the newest is 7:bbbbbbbb", 2: "7:bbbbbbbb and 7:aaaaaaaa have one number",
		3: "rejected a version", 4: `is not ready, state "starting"`, 5: "status 404", 6: "not the expected JSON",
	} {
		if want != "" {
			g.Expect(stdout).To(MatchRegexp("problem: " + addresses[i] + " .*" + want))
		}
	}
	g.Expect(stdout).To(HaveSuffix("7 nodes, newest version 7:bbbbbbbb, 6 problems\n"))
	code, stdout, _ = run("status", "--json", "--nodes", strings.Join(addresses, ","))
	g.Expect(code).To(Equal(1))
	var report struct {
		Newest wire.VersionID
		Nodes  []struct {
			Status  *operator.Status
			Lagging bool
		}
	}
	g.Expect(json.Unmarshal([]byte(stdout), &report)).To(Succeed())
	g.Expect(report.Newest).To(Equal(good.Version))
	g.Expect(*report.Nodes[2].Status).To(Equal(conflict))
	g.Expect(report.Nodes[1].Lagging).To(BeTrue())
	g.Expect(report.Nodes[5].Status).To(BeNil())
}

// Burn rates must be computed from the sums of the nodes' calls, not averaged over the nodes, and the report must say
// so if a node's calls are missing in the sums.
func TestBurnSumsNodes(t *testing.T) {
	g := NewWithT(t)
	report := func(good, total uint64) operator.BurnReport {
		o := operator.ObjectiveReport{Name: "deposits", Service: "tesouraria", Target: 0.999}
		for _, seconds := range []int64{300, 1800, 3600, 21600} {
			o.Windows = append(o.Windows, operator.BurnWindow{WindowSeconds: seconds, Good: good, Total: total})
		}
		return operator.BurnReport{Objectives: []operator.ObjectiveReport{o}}
	}
	busy, idle := startNode(t, operator.PathBurnReport, report(980, 990)), startNode(t, operator.PathBurnReport, report(0, 10))
	code, stdout, _ := run("burn", "--nodes", busy+","+idle, "--json")
	g.Expect(code).To(Equal(0))
	var got struct {
		Objectives []struct {
			Alert   string
			Windows []operator.BurnWindow
		}
		Errors []string
	}
	g.Expect(json.Unmarshal([]byte(stdout), &got)).To(Succeed())
	g.Expect(got.Objectives).To(HaveLen(1))
	g.Expect(got.Objectives[0].Alert).To(Equal("page"))
	g.Expect(got.Objectives[0].Windows[0].BurnRate).To(BeNumerically("~", 20, 1e-9))
	g.Expect(got.Errors).To(BeEmpty())
	code, stdout, _ = run("burn", "--nodes", busy+","+startNode(t, operator.PathStatus, 0))
	g.Expect(code).To(Equal(1))
	g.Expect(stdout).To(ContainSubstring("10.10 (980/990)"))
	g.Expect(stdout).To(ContainSubstring("the sums are partial"))
}
