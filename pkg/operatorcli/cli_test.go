package operatorcli_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/bamboodeal/bamboodeal/api/bundle"
	"github.com/bamboodeal/bamboodeal/api/config"
	"github.com/bamboodeal/bamboodeal/pkg/operatorcli"
)

// asProcess is the environment variable that makes the test binary behave as the command. Tests run it as a process,
// because the argument parser may end the process.
const asProcess = "BAMBOODEAL_TEST_AS_PROCESS"

func TestMain(m *testing.M) {
	if os.Getenv(asProcess) != "" {
		os.Exit(operatorcli.Run(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// run runs the command within the test process.
func run(args ...string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	code = operatorcli.Run(args, &out, &err)
	return code, out.String(), err.String()
}

// copyDeclared copies the declarations of an example to a temporary directory and returns its path.
func copyDeclared(t *testing.T, name string) string {
	t.Helper()
	dir := filepath.Join(t.TempDir(), "declared")
	if err := os.CopyFS(dir, os.DirFS(filepath.Join("../../examples", name, "declared"))); err != nil {
		t.Fatal(err)
	}
	return dir
}

// readFiles returns the contents of the files in a directory by file name.
func readFiles(t *testing.T, dir string) map[string]string {
	t.Helper()
	files := map[string]string{}
	paths, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		files[filepath.Base(path)] = string(data)
	}
	return files
}

// readBundle returns the set and the manifest of the bundle in a directory.
func readBundle(t *testing.T, dir string) (*config.Set, bundle.Manifest) {
	t.Helper()
	b, err := bundle.ReadDirectory(dir)
	if err != nil {
		t.Fatal(err)
	}
	set, err := bundle.DecodeSet(b.ManifestBytes, b.Values)
	if err != nil {
		t.Fatal(err)
	}
	return set, b.Manifest
}

// Operators' scripts rely on the exit codes.
func TestExitCodes(t *testing.T) {
	g := NewWithT(t)
	dir := copyDeclared(t, "estanho")
	for _, c := range []struct {
		code int
		args []string
	}{
		{0, []string{"--version"}},
		{0, []string{"--help"}},
		{0, []string{"build", "--help"}},
		{0, []string{"check", dir}},
		{1, []string{"check", t.TempDir()}},
		{1, []string{"check", filepath.Join(dir, "none")}},
		{1, []string{"build", dir, "--out", filepath.Join(t.TempDir(), "b"), "--previous", t.TempDir()}},
		{1, []string{"status", "--nodes", "127.0.0.1:1"}},
		{1, []string{"burn", "--nodes=127.0.0.1:1"}},
		{2, nil},
		{2, []string{"dc"}},
		{2, []string{"key"}},
		{2, []string{"publish"}},
		{2, []string{"check"}},
		{2, []string{"check", dir, "--bogus"}},
		{2, []string{"check", dir, dir}},
		{2, []string{"build", dir}},
		{2, []string{"build", dir, "--out"}},
		{2, []string{"build", dir, "--out", "x", "--version", "-1"}},
		{2, []string{"dc", "out", "--dir", dir}},
		{2, []string{"dc", "out", "crato"}},
		{2, []string{"key", "grant", "--dir", dir}},
		{2, []string{"status"}},
		{2, []string{"status", "--nodes", "nowhere"}},
	} {
		command := exec.Command(os.Args[0], c.args...)
		command.Env = append(os.Environ(), asProcess+"=1")
		output, err := command.CombinedOutput()
		var exit *exec.ExitError
		code := 0
		if errors.As(err, &exit) {
			code = exit.ExitCode()
		}
		g.Expect(code).To(Equal(c.code), "%v: %s", c.args, output)
		g.Expect(output).NotTo(BeEmpty(), "%v", c.args)
	}
}

// The examples must be valid, and their plain keys must match the declared digests.
func TestExamplesAreValid(t *testing.T) {
	for _, name := range []string{"estanho", "mantaleve"} {
		g := NewWithT(t)
		code, stdout, _ := run("check", filepath.Join("../../examples", name, "declared"), "--json")
		g.Expect(code).To(Equal(0), stdout)
		g.Expect(stdout).To(MatchJSON("[]"))
		out := filepath.Join(t.TempDir(), "bundle")
		code, _, stderr := run("build", copyDeclared(t, name), "--out", out)
		g.Expect(code).To(Equal(0), stderr)
		set, _ := readBundle(t, out)
		data, err := os.ReadFile(filepath.Join("../../examples", name, "example-keys.json"))
		g.Expect(err).NotTo(HaveOccurred())
		var plain map[string]string
		g.Expect(json.Unmarshal(data, &plain)).To(Succeed())
		rate, teams := 0.0, map[string]bool{}
		for id, key := range plain {
			granted := set.KeyForSecret(key)
			g.Expect(granted).NotTo(BeNil())
			g.Expect(granted.ID).To(Equal(id))
			teams[granted.Team] = true
		}
		for _, team := range set.Teams {
			rate += team.RatePerSecond
			g.Expect(teams[team.Name]).To(BeTrue(), team.Name)
		}
		g.Expect(set.Teams).To(HaveLen(8))
		g.Expect(rate).To(BeNumerically(">", 300))
		for _, s := range set.Services {
			g.Expect(set.UpstreamsOf(s.Name)).To(HaveLen(len(set.DataCentres)))
		}
	}
}

// The command check must report the faults in all files in one run.
func TestCheckReportsAllFaults(t *testing.T) {
	g := NewWithT(t)
	dir := copyDeclared(t, "estanho")
	for file, change := range map[string][2]string{
		"teams.json":     {`"burst": 150`, `"burst": 0`},
		"routes.json":    {`"service": "acervo"`, `"service": "arquivo"`},
		"upstreams.json": {`"slots"`, `"slot"`},
	} {
		path := filepath.Join(dir, file)
		data, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.WriteFile(path, bytes.Replace(data, []byte(change[0]), []byte(change[1]), 1), 0o600)).To(Succeed())
	}
	code, stdout, stderr := run("check", dir)
	g.Expect(code).To(Equal(1))
	g.Expect(strings.Split(strings.TrimSpace(stdout), "\n")).To(HaveLen(4))
	for _, text := range []string{
		`teams.json: team "casa-do-cariri": burst = 0: `, `routes.json: route "acervo-read": service = "arquivo": `,
		`upstreams.json: upstream "vitrine-juazeiro": slot: `, `upstreams.json: upstream "vitrine-juazeiro": slots = 0: `,
	} {
		g.Expect(stdout).To(ContainSubstring(text))
	}
	g.Expect(stderr).To(ContainSubstring("4 faults"))
}

// The command build must refuse a version number that is not higher than the previous one, because no node would adopt
// it.
func TestBuildRequiresHigherVersion(t *testing.T) {
	g := NewWithT(t)
	dir, out, other := copyDeclared(t, "estanho"), filepath.Join(t.TempDir(), "a"), filepath.Join(t.TempDir(), "b")
	build := func(args ...string) (int, string) {
		code, _, stderr := run(append([]string{"build", dir}, args...)...)
		return code, stderr
	}
	code, stderr := build("--out", out, "--version", "5")
	g.Expect(code).To(Equal(0), stderr)
	_, first := readBundle(t, out)
	for _, version := range []string{"4", "5"} {
		code, stderr := build("--out", other, "--previous", out, "--version", version)
		g.Expect(code).To(Equal(1))
		g.Expect(stderr).To(ContainSubstring("choose at least 6"))
		code, _ = build("--out", out, "--version", version)
		g.Expect(code).To(Equal(1))
	}
	code, stderr = build("--out", other, "--previous", out)
	g.Expect(code).To(Equal(0), stderr)
	_, second := readBundle(t, other)
	g.Expect(second.Version).To(BeEquivalentTo(6))
	g.Expect(second.Parent).To(Equal(first.ID().Digest))
	g.Expect(second.Values).To(Equal(first.Values))
}

// The command "dc out" must change only the state of the data centre, and "dc in" must restore the file exactly. With
// --out, but without a known previous version, the command must change nothing.
func TestDataCentreOutAndIn(t *testing.T) {
	g := NewWithT(t)
	dir, out := copyDeclared(t, "mantaleve"), filepath.Join(t.TempDir(), "bundle")
	before := readFiles(t, dir)
	code, _, stderr := run("dc", "out", "porto-a", "--dir", dir, "--out", out)
	g.Expect(code).To(Equal(1))
	g.Expect(stderr).To(ContainSubstring("--previous"))
	g.Expect(readFiles(t, dir)).To(Equal(before))
	code, _, _ = run("build", dir, "--out", out)
	g.Expect(code).To(Equal(0))

	code, _, stderr = run("dc", "out", "porto-a", "--dir", dir, "--out", out)
	g.Expect(code).To(Equal(0), stderr)
	set, manifest := readBundle(t, out)
	g.Expect(manifest.Version).To(BeEquivalentTo(2))
	g.Expect(set.DataCentre("porto-a").State).To(Equal(config.DataCentreOut))
	after := readFiles(t, dir)
	line := `{"name": "porto-a", "region": "norte", "state": `
	g.Expect(after["data_centres.json"]).To(Equal(
		strings.Replace(before["data_centres.json"], line+`"in"`, line+`"out"`, 1)))
	after["data_centres.json"] = before["data_centres.json"]
	g.Expect(after).To(Equal(before))

	code, stdout, _ := run("diff", dir, "../../examples/mantaleve/declared")
	g.Expect(code).To(Equal(0))
	g.Expect(stdout).To(Equal("~ data_centres \"porto-a\": state \"out\" -> \"in\"\n"))
	code, _, _ = run("dc", "in", "porto-a", "--dir", dir)
	g.Expect(code).To(Equal(0))
	g.Expect(readFiles(t, dir)).To(Equal(before))
}

// An edit that leaves no data centre in service, or that names an unknown object, must change nothing.
func TestRefusedEditChangesNothing(t *testing.T) {
	g := NewWithT(t)
	dir := copyDeclared(t, "estanho")
	for _, name := range []string{"juazeiro", "crato"} {
		code, _, _ := run("dc", "out", name, "--dir", dir)
		g.Expect(code).To(Equal(0))
	}
	before := readFiles(t, dir)
	for _, args := range [][]string{
		{"dc", "out", "barbalha", "--dir", dir},
		{"dc", "out", "braga-a", "--dir", dir},
		{"key", "withdraw", "none", "--dir", dir},
		{"key", "grant", "--team", "none", "--dir", dir},
	} {
		code, stdout, stderr := run(args...)
		g.Expect(code).To(Equal(1), "%v", args)
		g.Expect(stdout).To(BeEmpty())
		g.Expect(stderr).NotTo(BeEmpty())
	}
	g.Expect(readFiles(t, dir)).To(Equal(before))
}

// A granted key must be in the built set, and the plain key must not be written to any file.
func TestKeyGrantAndWithdraw(t *testing.T) {
	g := NewWithT(t)
	dir, out := copyDeclared(t, "estanho"), filepath.Join(t.TempDir(), "bundle")
	g.Expect(os.WriteFile(filepath.Join(dir, "notes.txt"), []byte("kept"), 0o600)).To(Succeed())
	code, _, _ := run("build", dir, "--out", out)
	g.Expect(code).To(Equal(0))
	code, stdout, stderr := run("key", "grant", "--team", "igreja-matriz", "--dir", dir, "--out", out)
	g.Expect(code).To(Equal(0), stderr)
	key := strings.TrimSuffix(stdout, "\n")
	g.Expect(key).To(MatchRegexp(`^bdk_[A-Za-z0-9_-]{43}$`))
	g.Expect(stderr).NotTo(ContainSubstring(key))
	set, _ := readBundle(t, out)
	granted := set.KeyForSecret(key)
	g.Expect(granted.ID).To(Equal("igreja-matriz-2"))
	g.Expect(granted.State).To(Equal(config.KeyGranted))
	code, _, _ = run("key", "withdraw", granted.ID, "--dir", dir, "--out", out)
	g.Expect(code).To(Equal(0))
	set, manifest := readBundle(t, out)
	g.Expect(set.KeyForSecret(key).State).To(Equal(config.KeyWithdrawn))
	g.Expect(manifest.Version).To(BeEquivalentTo(3))
	code, secondKey, _ := run("key", "grant", "--team", "igreja-matriz", "--dir", dir)
	g.Expect(code).To(Equal(0))
	g.Expect(secondKey).NotTo(Equal(stdout))
	for _, root := range []string{dir, out, filepath.Join(out, bundle.ValuesDirectory)} {
		paths, err := filepath.Glob(filepath.Join(root, "*"))
		g.Expect(err).NotTo(HaveOccurred())
		for _, path := range paths {
			if data, err := os.ReadFile(path); err == nil {
				g.Expect(string(data)).NotTo(ContainSubstring(key[4:]), path)
			}
		}
	}
	g.Expect(readFiles(t, dir)).To(HaveKeyWithValue("notes.txt", "kept"))
}

// The command explain must merge the log lines of a request from several files in the order of time.
func TestExplainReadsSeveralLogs(t *testing.T) {
	g := NewWithT(t)
	dir := t.TempDir()
	logs := map[string]string{
		"a.log": `{"msg":"request ended","request":"r1","time":"2026-02-05T21:12:32.2Z","outcome":"overloaded","status":503}`,
		"b.log": `{"msg":"upstream did not answer a forwarded request","request":"r1","time":"2026-02-05T21:12:32.1Z","waiting":9}`,
	}
	args := append(make([]string, 0, 5), "explain", "r1")
	for _, name := range []string{"a.log", "b.log"} {
		path := filepath.Join(dir, name)
		g.Expect(os.WriteFile(path, []byte(logs[name]), 0o600)).To(Succeed())
		args = append(args, path)
	}
	code, out, _ := run(args...)
	g.Expect(code).To(Equal(operatorcli.ExitSuccess))
	lines := strings.Split(strings.TrimSpace(out), "\n")
	g.Expect(lines).To(HaveLen(2))
	g.Expect(lines[0]).To(ContainSubstring("waiting=9"))
	g.Expect(lines[1]).To(ContainSubstring("outcome=overloaded"))
	code, out, _ = run(append(args, "--json")...)
	g.Expect(code).To(Equal(operatorcli.ExitSuccess))
	var report struct {
		Lines []map[string]any `json:"lines"`
	}
	g.Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
	g.Expect(report.Lines).To(HaveLen(2))
	code, _, errors := run("explain", "unknown", args[2])
	g.Expect(code).To(Equal(operatorcli.ExitFailure))
	g.Expect(errors).To(ContainSubstring("give the logs of its entry node"))
	code, _, _ = run("explain", "r1", filepath.Join(dir, "missing"))
	g.Expect(code).To(Equal(operatorcli.ExitUsage))
}
