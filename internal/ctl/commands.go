package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/jessevdk/go-flags"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/buildinfo"
)

// app holds the global options and the standard streams, which all commands
// share.
type app struct {
	Connection
	Version bool `long:"version" description:"print the version and exit"`

	ctx    context.Context
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer
}

func (a *app) client() *client { return newClient(&a.Connection) }

func (a *app) printer() *printer { return &printer{out: a.stdout, json: a.Output == "json"} }

// kindArg is the argument for a kind of record, with shell completion.
type kindArg string

// UnmarshalFlag accepts a kind in its plural or singular form.
func (k *kindArg) UnmarshalFlag(value string) error {
	kind, err := parseKind(value)
	*k = kindArg(kind)
	return err
}

// Complete lists the kinds that start with match.
func (k *kindArg) Complete(match string) []flags.Completion {
	return completions(match, kinds...)
}

func completions(match string, items ...string) []flags.Completion {
	var found []flags.Completion
	for _, item := range items {
		if strings.HasPrefix(item, match) {
			found = append(found, flags.Completion{Item: item})
		}
	}
	return found
}

// recordArg holds the positional arguments that name one record.
type recordArg struct {
	Kind kindArg `positional-arg-name:"KIND" description:"kind of record"`
	Name string  `positional-arg-name:"NAME" description:"name of the record"`
}

// command is a subcommand with its help texts.
type command struct {
	name, short, long string
	data              any
}

func (a *app) commands() []command {
	return []command{
		{"apply", "create or update records from a file", "Creates or updates the record of each document in a file. A record that already equals its document is not written.", &applyCommand{app: a}},
		{"get", "show one record", "Shows a record in the form its author wrote, with its version.", &getCommand{app: a}},
		{"list", "list records", "Lists the records of a kind, or of all kinds.", &listCommand{app: a}},
		{"edit", "change fields of a record", "Sets or removes fields of a record, provided that its version has not changed since it was read. This command opens no editor: to use one, write the output of `get -o json` to a file and apply the file.", &editCommand{app: a}},
		{"diff", "compare a file with the records in force", "Lists the fields that apply would change. Exits with code 10 if there is a difference.", &diffCommand{app: a}},
		{"delete", "delete a record", "Deletes a record, provided that its version has not changed since it was read.", &deleteCommand{app: a}},
		{"evacuate", "stop sending new work to a failure domain", "Stops sending new work to the endpoints of a failure domain until `use-again`. Work that already runs there continues.", &evacuateCommand{app: a}},
		{"use-again", "cancel an evacuation", "Sends work again to the endpoints of a failure domain that was evacuated with this program.", &useAgainCommand{app: a}},
		{"evacuations", "list evacuated failure domains", "Lists the evacuated failure domains, with who ordered each evacuation, since when and why.", &evacuationsCommand{app: a}},
		{"why", "explain decisions", "Shows the decisions on a request, an endpoint, a configuration, a failure domain or a fingerprint, with candidates and reasons.", &whyCommand{app: a}},
		{"in-force", "show the version in force at each daemon", "Lists each daemon with the version in force there and how long it has been in force.", &inForceCommand{app: a}},
		{"drain", "stop a daemon gracefully", "Requests a daemon to accept no new callers, finish its streams and exit.", &drainCommand{app: a}},
		{"hash-token", "print the hash of an admin token", "Reads a token from standard input and prints its hash for the field admin_token_sha256 of the daemons' settings. Only operators keep the token itself.", &hashTokenCommand{app: a}},
		{"entry", "show the addresses that callers receive", "Queries a router as a caller does and shows the addresses to use, in order, and how long they are valid.", &entryCommand{app: a}},
	}
}

// Run executes one command line and returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("dragonflyctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = "Reads and writes dragonflyrail's records and explains the decisions of its daemons."
	if _, err := parser.AddGroup("Global options", "", a); err != nil {
		return a.report(err)
	}
	for _, c := range a.commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			return a.report(err)
		}
	}
	parser.CommandHandler = func(c flags.Commander, rest []string) error { return a.execute(c, rest) }
	_, err := parser.ParseArgs(args)
	return a.report(err)
}

func (a *app) execute(c flags.Commander, rest []string) error {
	if a.Version {
		_, err := fmt.Fprintln(a.stdout, "dragonflyctl", buildinfo.String())
		return err
	}
	if c == nil {
		return withAdvice(merry.Append(ErrUsage, "no command given"), "see dragonflyctl --help")
	}
	if len(rest) > 0 {
		return withAdvice(merry.Appendf(ErrUsage, "unexpected argument %q", rest[0]), "see dragonflyctl --help")
	}
	if err := a.setDefaults(); err != nil {
		return err
	}
	return c.Execute(rest)
}

// report prints an error and the advice that goes with it, and returns the
// exit code.
func (a *app) report(err error) int {
	if err == nil {
		return ExitOK
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) {
		if flagErr.Type == flags.ErrHelp {
			fmt.Fprintln(a.stdout, flagErr.Message)
			return ExitOK
		}
		err = merry.Append(ErrUsage, flagErr.Message)
	}
	fmt.Fprintln(a.stderr, "dragonflyctl:", err)
	fmt.Fprintln(a.stderr, "  next:", adviceOf(err))
	return exitCode(err)
}

func versionText(v uint64) string { return strconv.FormatUint(v, 10) }
