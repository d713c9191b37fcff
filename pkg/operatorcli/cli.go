// Package operatorcli implements the command bamboodeal for operators: it checks and edits declarations, checks published
// configurations, builds bundles and queries the operator ports of nodes. It does not publish bundles.
package operatorcli

import (
	"errors"
	"fmt"
	"io"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
)

// Version is the version of the command.
const Version = "0.1.0"

// Exit codes of the command.
const (
	ExitSuccess = 0
	ExitFailure = 1
	// ExitUsage is for wrong arguments and for published configurations that cannot be read.
	ExitUsage = 2
	// ExitWarnings is for published configurations with warnings and no errors.
	ExitWarnings = 3
)

var (
	// errUsage marks an error in the arguments.
	errUsage = eris.New("wrong arguments; see --help")
	// errProblemsFound makes a command fail whose output already describes the problems.
	errProblemsFound = eris.New("problems were found")
	// errWarningsFound is like errProblemsFound if all problems are warnings.
	errWarningsFound = eris.New("warnings were found")
	// errUnreadable marks a published configuration that cannot be read.
	errUnreadable = eris.New("the published configuration cannot be read; name a file that exists and holds the published JSON")
)

// options are the flags and positional arguments of all commands.
type options struct {
	firstArg, secondArg string
	name                string
	dir                 string
	out                 string
	previous            string
	inForce             string
	version             uint64
	team                string
	nodes               string
	timeoutMS           uint64
	json                bool
}

// session is one run of the command.
type session struct {
	options
	stdout, stderr io.Writer
}

// commandHandler is a command, or a group of commands, and the function that runs it.
type commandHandler struct {
	command *flaggy.Subcommand
	run     func() error
}

// Run parses the arguments, which do not include the program's name, runs one command and returns the exit code. The
// argument parser ends the process itself after --help, with code 0, and after unknown arguments, with code 2.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 1 && args[0] == "--version" {
		_, _ = fmt.Fprintln(stdout, "bamboodeal", Version)
		return ExitSuccess
	}
	s := &session{options: options{timeoutMS: 3000}, stdout: stdout, stderr: stderr}
	parser, handlers := s.parser()
	if err := parser.ParseArgs(separateFiles(args)); err != nil {
		return s.exitCode(eris.Wrap(errUsage, err.Error()))
	}
	for _, c := range handlers {
		if c.command.Used {
			return s.exitCode(c.run())
		}
	}
	parser.ShowHelpWithMessage("Name a command.")
	return ExitUsage
}

// exitCode prints the error and returns the exit code for it.
func (s *session) exitCode(err error) int {
	switch {
	case err == nil:
		return ExitSuccess
	case errors.Is(err, errProblemsFound):
		return ExitFailure
	case errors.Is(err, errWarningsFound):
		return ExitWarnings
	case errors.Is(err, errUsage), errors.Is(err, errUnreadable):
		_, _ = fmt.Fprintln(s.stderr, "bamboodeal:", err)
		return ExitUsage
	}
	_, _ = fmt.Fprintln(s.stderr, "bamboodeal:", err)
	return ExitFailure
}

// printf writes a line of a command's result.
func (s *session) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(s.stdout, format+"\n", args...)
}

// notef writes a line that is not part of a command's result.
func (s *session) notef(format string, args ...any) {
	_, _ = fmt.Fprintf(s.stderr, format+"\n", args...)
}

// requireFlag returns an error if a flag was not given.
func requireFlag(flag, value string) error {
	if value == "" {
		return eris.Wrapf(errUsage, "give --%s", flag)
	}
	return nil
}

// parser returns the argument parser and the handlers of all commands. The commands of a group come before the group,
// because Run takes the first one that was used.
func (s *session) parser() (*flaggy.Parser, []commandHandler) {
	p := flaggy.NewParser("bamboodeal")
	p.Description = "checks declarations and published configurations, builds bundles and reads the state of a mesh. " +
		"Exit codes: 0 success, 1 failure, 2 wrong arguments or an unreadable file, 3 only warnings on a published configuration."
	p.AdditionalHelpAppend = "\nbamboodeal --version prints the version of the command."
	// The commands that build bundles have a flag --version, with which the library's own flag would conflict.
	p.ShowVersionWithVersionFlag = false
	p.ShowCompletion = false

	check := newCommand("check", "Check a directory of declarations, or a published configuration, and print all findings.")
	check.AddPositionalValue(&s.firstArg, "DIR|FILE", 1, true, "The directory of the declared *.json files, or the file to publish.")
	check.Bool(&s.json, "", "json", "Print the findings as JSON.")
	check.String(&s.inForce, "", "in-force", "The published file that is in force, to show what FILE changes.")

	build := newCommand("build", "Build a bundle from a directory of declarations.")
	build.AddPositionalValue(&s.firstArg, "DIR", 1, true, "The directory of the declared *.json files.")
	s.addBuildFlags(build)

	diff := newCommand("diff", "Show what differs between two bundles, directories of declarations or published configurations.")
	diff.AddPositionalValue(&s.firstArg, "OLD", 1, true, "A bundle, a directory of declarations or a published file.")
	diff.AddPositionalValue(&s.secondArg, "NEW", 2, true, "A bundle or a directory of declarations, or a published file if OLD is one.")
	diff.Bool(&s.json, "", "json", "Print the findings on published files as JSON.")

	handlers := []commandHandler{
		{check, s.check},
		{build, s.build},
		{diff, s.diff},
	}
	groups := []commandHandler{s.dataCentreCommands(&handlers), s.keyCommands(&handlers)}

	status := newCommand("status", "Show the version and state of each node, and what is wrong.")
	burn := newCommand("burn", "Show the burn rates of the objectives, summed over the nodes.")
	for _, c := range []*flaggy.Subcommand{status, burn} {
		c.String(&s.nodes, "", "nodes", "Operator addresses of the nodes, separated by commas.")
		c.UInt64(&s.timeoutMS, "", "timeout-ms", "Time in milliseconds that one node has to answer.")
		c.Bool(&s.json, "", "json", "Print the report as JSON.")
	}
	explainCommand := newCommand(explainName, "Show what the logs of nodes say of one request, in order: explain ID [FILE...].")
	explainCommand.AddPositionalValue(&s.firstArg, "ID", 1, true, "The ID of the request; logs are read from the files after it or from standard input.")
	explainCommand.Bool(&s.json, "", "json", "Print the lines as JSON.")
	handlers = append(handlers, commandHandler{status, s.status}, commandHandler{burn, s.burn},
		commandHandler{explainCommand, func() error { return s.explain(p.TrailingArguments) }})
	for _, c := range []*flaggy.Subcommand{check, build, diff, groups[0].command, groups[1].command, status, burn, explainCommand} {
		p.AttachSubcommand(c, 1)
	}
	return p, append(handlers, groups...)
}

// dataCentreCommands appends the commands of the group dc to handlers and returns the group.
func (s *session) dataCentreCommands(handlers *[]commandHandler) commandHandler {
	group := newCommand("dc", "Take a data centre out of service or back in.")
	for _, state := range []string{"out", "in"} {
		c := newCommand(state, "Edit the declarations so that the data centre is "+state+".")
		c.AddPositionalValue(&s.name, "NAME", 1, true, "The name of the data centre.")
		s.addEditFlags(c)
		group.AttachSubcommand(c, 1)
		*handlers = append(*handlers, commandHandler{c, func() error { return s.setDataCentre(state) }})
	}
	return commandHandler{group, func() error { return eris.Wrap(errUsage, "dc needs the command out or in") }}
}

// keyCommands appends the commands of the group key to handlers and returns the group.
func (s *session) keyCommands(handlers *[]commandHandler) commandHandler {
	group := newCommand("key", "Grant a key to a team or withdraw one.")
	grant := newCommand("grant", "Generate a key, print it once and declare its digest.")
	grant.String(&s.team, "", "team", "The team that the key is for.")
	withdraw := newCommand("withdraw", "Edit the declarations so that the key is withdrawn.")
	withdraw.AddPositionalValue(&s.name, "ID", 1, true, "The id of the key.")
	for _, c := range []*flaggy.Subcommand{grant, withdraw} {
		s.addEditFlags(c)
		group.AttachSubcommand(c, 1)
	}
	*handlers = append(*handlers, commandHandler{grant, s.grantKey}, commandHandler{withdraw, s.withdrawKey})
	return commandHandler{group, func() error { return eris.Wrap(errUsage, "key needs the command grant or withdraw") }}
}

// addEditFlags adds the flags of a command that edits declarations.
func (s *session) addEditFlags(c *flaggy.Subcommand) {
	c.String(&s.dir, "", "dir", "The directory of the declared *.json files.")
	s.addBuildFlags(c)
}

// addBuildFlags adds the flags of a command that builds a bundle.
func (s *session) addBuildFlags(c *flaggy.Subcommand) {
	c.String(&s.out, "", "out", "The directory to write the bundle to.")
	c.String(&s.previous, "", "previous", "The bundle that was published last; without it, the one in --out.")
	c.UInt64(&s.version, "", "version", "The number of the version; without it, the next one.")
}

func newCommand(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	return c
}
