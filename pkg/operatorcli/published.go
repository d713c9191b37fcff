package operatorcli

import (
	"cmp"
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/bamboodeal/bamboodeal/pkg/configcheck"
	"github.com/bamboodeal/bamboodeal/platform"
)

// isFile reports whether a path names a published configuration, which is a file, in contrast to a directory of
// declarations. A path that doesn't exist counts as a file if it ends in .json.
func isFile(path string) bool {
	info, err := os.Stat(path)
	if errors.Is(err, fs.ErrNotExist) {
		return filepath.Ext(path) == ".json"
	}
	return err == nil && !info.IsDir()
}

// readPublished reads a published configuration as far as possible.
func readPublished(path string) (draft *configcheck.Draft, err error) {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil, eris.Wrapf(errUsage, "%s is a directory; name a published file", path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(errUnreadable, err.Error())
	}
	defer func() { err = cmp.Or(err, file.Close()) }()
	data, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		return nil, eris.Wrap(errUnreadable, err.Error())
	}
	if len(data) > maxFileBytes {
		return nil, eris.Wrapf(errUnreadable, "%s has more than %d bytes", path, maxFileBytes)
	}
	return platform.DecodeDraft(data), nil
}

// readReference reads the published configuration with which another one is compared.
func readReference(path string) (*configcheck.Draft, error) {
	draft, err := readPublished(path)
	if err == nil && !draft.Readable() {
		return nil, eris.Wrapf(errUnreadable, "%s: %s", path, draft.Faults[0].Message)
	}
	return draft, err
}

// checkPublished prints the errors and warnings of a published configuration and, if the one in force is given, what
// differs from it.
func (s *session) checkPublished() error {
	next, err := readPublished(s.firstArg)
	if err != nil {
		return err
	}
	findings := configcheck.Check(next)
	if s.inForce != "" {
		inForce, err := readReference(s.inForce)
		if err != nil {
			return err
		}
		findings = append(findings, configcheck.Compare(inForce, next)...)
		configcheck.Sort(findings)
	}
	return s.reportFindings(s.firstArg, findings)
}

// diffPublished prints what differs between two published configurations, and the errors of the new one.
func (s *session) diffPublished() error {
	inForce, err := readReference(s.firstArg)
	if err != nil {
		return err
	}
	next, err := readPublished(s.secondArg)
	if err != nil {
		return err
	}
	var findings []configcheck.Finding
	for _, f := range configcheck.Check(next) {
		if f.Severity == configcheck.Error {
			findings = append(findings, f)
		}
	}
	findings = append(findings, configcheck.Compare(inForce, next)...)
	configcheck.Sort(findings)
	return s.reportFindings(s.secondArg, findings)
}

// findingReport is a finding as the commands print it with --json.
type findingReport struct {
	Severity configcheck.Severity `json:"severity"`
	File     string               `json:"file"`
	Object   string               `json:"object"`
	// Field has the name that it has in the file.
	Field   string `json:"field"`
	Message string `json:"message"`
}

// reportFindings prints the findings on a published configuration, one per line, and returns the error for the exit
// code.
func (s *session) reportFindings(path string, findings []configcheck.Finding) error {
	reports := make([]findingReport, 0, len(findings))
	for _, f := range findings {
		reports = append(reports, findingReport{f.Severity, path, f.Object, platform.PublishedField(f.Field), f.Message})
	}
	if s.json {
		if err := s.printJSON(reports); err != nil {
			return err
		}
	} else {
		for i := range reports {
			s.printf("%s", reports[i].line())
		}
	}
	errorCount, warningCount := configcheck.Count(findings, configcheck.Error), configcheck.Count(findings, configcheck.Warning)
	s.notef("%s: errors %d, warnings %d, other changes %d", path, errorCount, warningCount, configcheck.Count(findings, configcheck.Change))
	switch {
	case errorCount > 0:
		return errProblemsFound
	case warningCount > 0:
		return errWarningsFound
	}
	return nil
}

// line returns the finding in one line of text.
func (r *findingReport) line() string {
	parts := []string{string(r.Severity), r.File}
	for _, part := range []string{r.Object, r.Field, r.Message} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.ReplaceAll(strings.Join(parts, ": "), "\n", " ")
}
