// Package operatorcli is the work of the operators' command bamboodeal: it checks and edits declarations, builds
// bundles and reads the operator ports of nodes. It publishes nothing.
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
	// ExitUsage is for wrong arguments.
	ExitUsage = 2
)

var (
	// errUsage marks an error in the arguments.
	errUsage = eris.New("wrong arguments; see --help")
	// errFound ends a command whose output already says what is wrong.
	errFound = eris.New("problems were found")
)

// options are the flags and positional values of all commands.
type options struct {
	first, second string
	name          string
	dir           string
	out           string
	previous      string
	version       uint64
	team          string
	nodes         string
	timeoutMS     uint64
	json          bool
}

// session is one run of the command.
type session struct {
	options
	stdout, stderr io.Writer
}

// choice is a command or a group of commands.
type choice struct {
	command *flaggy.Subcommand
	run     func() error
}

// Run parses the arguments, without the program's name, runs one command and returns the exit code. The argument
// parser ends the process by itself, with code 0 after --help and 2 after unknown arguments.
func Run(args []string, stdout, stderr io.Writer) int {
	if len(args) == 1 && args[0] == "--version" {
		_, _ = fmt.Fprintln(stdout, "bamboodeal", Version)
		return ExitSuccess
	}
	s := &session{options: options{timeoutMS: 3000}, stdout: stdout, stderr: stderr}
	parser, choices := s.parser()
	if err := parser.ParseArgs(separateFiles(args)); err != nil {
		return s.exit(eris.Wrap(errUsage, err.Error()))
	}
	for _, c := range choices {
		if c.command.Used {
			return s.exit(c.run())
		}
	}
	parser.ShowHelpWithMessage("Name a command.")
	return ExitUsage
}

// exit reports the error and returns the exit code for it.
func (s *session) exit(err error) int {
	switch {
	case err == nil:
		return ExitSuccess
	case errors.Is(err, errFound):
		return ExitFailure
	case errors.Is(err, errUsage):
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

// notef writes a line that is not part of the result.
func (s *session) notef(format string, args ...any) {
	_, _ = fmt.Fprintf(s.stderr, format+"\n", args...)
}

// required reports a flag that was not given.
func required(flag, value string) error {
	if value == "" {
		return eris.Wrapf(errUsage, "give --%s", flag)
	}
	return nil
}

// parser declares the commands; those of a group come before the group.
func (s *session) parser() (*flaggy.Parser, []choice) {
	p := flaggy.NewParser("bamboodeal")
	p.Description = "checks declarations, builds bundles and reads the state of a mesh. " +
		"Exit codes: 0 success, 1 failure, 2 wrong arguments."
	p.AdditionalHelpAppend = "\nbamboodeal --version prints the version of the command."
	// The command build has a flag --version of its own, with which the library's would conflict.
	p.ShowVersionWithVersionFlag = false
	p.ShowCompletion = false

	check := command("check", "Check a directory of declarations and print all faults.")
	check.AddPositionalValue(&s.first, "DIR", 1, true, "The directory of the declared *.json files.")
	check.Bool(&s.json, "", "json", "Print the faults as JSON.")

	build := command("build", "Build a bundle from a directory of declarations.")
	build.AddPositionalValue(&s.first, "DIR", 1, true, "The directory of the declared *.json files.")
	s.publication(build)

	diff := command("diff", "Show which objects differ between two bundles or directories of declarations.")
	diff.AddPositionalValue(&s.first, "OLD", 1, true, "A bundle or a directory of declarations.")
	diff.AddPositionalValue(&s.second, "NEW", 2, true, "A bundle or a directory of declarations.")

	choices := []choice{
		{check, s.check},
		{build, s.build},
		{diff, s.diff},
	}
	groups := []choice{s.dataCentreCommands(&choices), s.keyCommands(&choices)}

	status := command("status", "Show the version and state of each node, and what is wrong.")
	burn := command("burn", "Show the burn rates of the objectives, summed over the nodes.")
	for _, c := range []*flaggy.Subcommand{status, burn} {
		c.String(&s.nodes, "", "nodes", "Operator addresses of the nodes, separated by commas.")
		c.UInt64(&s.timeoutMS, "", "timeout-ms", "Time in milliseconds that one node has to answer.")
		c.Bool(&s.json, "", "json", "Print the report as JSON.")
	}
	story := command(explainName, "Show what the logs of nodes say of one request, in order: explain ID [FILE...].")
	story.AddPositionalValue(&s.first, "ID", 1, true, "The ID of the request; logs are read from the files after it or from standard input.")
	story.Bool(&s.json, "", "json", "Print the lines as JSON.")
	choices = append(choices, choice{status, s.status}, choice{burn, s.burn},
		choice{story, func() error { return s.explain(p.TrailingArguments) }})
	for _, c := range []*flaggy.Subcommand{check, build, diff, groups[0].command, groups[1].command, status, burn, story} {
		p.AttachSubcommand(c, 1)
	}
	return p, append(choices, groups...)
}

func (s *session) dataCentreCommands(choices *[]choice) choice {
	group := command("dc", "Take a data centre out of service or back in.")
	for _, verb := range []string{"out", "in"} {
		c := command(verb, "Edit the declarations so that the data centre is "+verb+".")
		c.AddPositionalValue(&s.name, "NAME", 1, true, "The name of the data centre.")
		s.edit(c)
		group.AttachSubcommand(c, 1)
		*choices = append(*choices, choice{c, func() error { return s.setDataCentre(verb) }})
	}
	return choice{group, func() error { return eris.Wrap(errUsage, "dc needs out or in") }}
}

func (s *session) keyCommands(choices *[]choice) choice {
	group := command("key", "Grant a key to a team or withdraw one.")
	grant := command("grant", "Generate a key, print it once and declare its digest.")
	grant.String(&s.team, "", "team", "The team that the key is for.")
	withdraw := command("withdraw", "Edit the declarations so that the key is withdrawn.")
	withdraw.AddPositionalValue(&s.name, "ID", 1, true, "The id of the key.")
	for _, c := range []*flaggy.Subcommand{grant, withdraw} {
		s.edit(c)
		group.AttachSubcommand(c, 1)
	}
	*choices = append(*choices, choice{grant, s.grantKey}, choice{withdraw, s.withdrawKey})
	return choice{group, func() error { return eris.Wrap(errUsage, "key needs grant or withdraw") }}
}

// edit adds the flags of a command that edits declarations.
func (s *session) edit(c *flaggy.Subcommand) {
	c.String(&s.dir, "", "dir", "The directory of the declared *.json files.")
	s.publication(c)
}

// publication adds the flags of a command that builds a bundle.
func (s *session) publication(c *flaggy.Subcommand) {
	c.String(&s.out, "", "out", "The directory to write the bundle to.")
	c.String(&s.previous, "", "previous", "The bundle that was published last; without it, the one in --out.")
	c.UInt64(&s.version, "", "version", "The number of the version; without it, the next one.")
}

func command(name, description string) *flaggy.Subcommand {
	c := flaggy.NewSubcommand(name)
	c.Description = description
	return c
}
