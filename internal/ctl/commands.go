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

// app is what every command works with.
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

// kindArg is a kind of record, completed by the shell.
type kindArg string

// UnmarshalFlag accepts a kind in plural or singular.
func (k *kindArg) UnmarshalFlag(value string) error {
	kind, err := kindOf(value)
	*k = kindArg(kind)
	return err
}

// Complete lists the kinds that start with what is typed.
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

// recordArg names one record.
type recordArg struct {
	Kind kindArg `positional-arg-name:"KIND" description:"kind of record"`
	Name string  `positional-arg-name:"NAME" description:"name of the record"`
}

// command is one subcommand with its help.
type command struct {
	name, short, long string
	data              any
}

func (a *app) commands() []command {
	return []command{
		{"apply", "bring documents into force", "Creates or revises each document of a file. A document that is in force already is left alone.", &applyCommand{app: a}},
		{"get", "show one record", "Shows a record as its author wrote it, with its version.", &getCommand{app: a}},
		{"list", "list records", "Lists the records of a kind, or of all kinds.", &listCommand{app: a}},
		{"edit", "revise fields of a record", "Sets or removes fields of a record, on condition that nobody revised it meanwhile. It starts no editor: to use one, write `get -o json` to a file and apply the file.", &editCommand{app: a}},
		{"diff", "compare a file with what is in force", "Lists what apply would change. Ends with exit code 10 where there is a difference.", &diffCommand{app: a}},
		{"delete", "delete a record", "Deletes a record on condition that nobody revised it meanwhile.", &deleteCommand{app: a}},
		{"evacuate", "send nothing more to a failure domain", "Has the endpoints of a failure domain get nothing more, until `use-again`. What runs there goes on.", &evacuateCommand{app: a}},
		{"use-again", "take an evacuation back", "Has the endpoints of a failure domain get work again that was evacuated with this program.", &useAgainCommand{app: a}},
		{"evacuations", "list evacuated failure domains", "Lists the failure domains that are evacuated, by whom, since when and why.", &evacuationsCommand{app: a}},
		{"why", "ask for the reason of decisions", "Shows the decisions on a request, an endpoint or a configuration, with candidates and reasons.", &whyCommand{app: a}},
		{"in-force", "show which version is in force where", "Lists each daemon with the version in force there and its age.", &inForceCommand{app: a}},
		{"drain", "stop a daemon gracefully", "Asks a daemon to take no new callers, to finish its streams and to exit.", &drainCommand{app: a}},
		{"hash-token", "print the hash of an admin token", "Reads a token from standard input and prints the hash that a daemon's settings name in admin_token_sha256. The token itself stays with the operators.", &hashTokenCommand{app: a}},
		{"entry", "show which addresses callers are given", "Asks a router as a caller does: the addresses to use, in order, and how long to keep them.", &entryCommand{app: a}},
	}
}

// Run carries out one command line and returns the exit code.
func Run(ctx context.Context, args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	a := &app{ctx: ctx, stdin: stdin, stdout: stdout, stderr: stderr}
	parser := flags.NewNamedParser("dragonflyctl", flags.HelpFlag|flags.PassDoubleDash)
	parser.SubcommandsOptional = true
	parser.LongDescription = "Writes and revises dragonflyrail's records and asks why."
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
		return withAdvice(merry.Append(ErrUsage, "no command"), "see dragonflyctl --help")
	}
	if len(rest) > 0 {
		return withAdvice(merry.Appendf(ErrUsage, "unexpected argument %q", rest[0]), "see dragonflyctl --help")
	}
	if err := a.complete(); err != nil {
		return err
	}
	return c.Execute(rest)
}

// report prints an error with what to do next and returns the exit code.
func (a *app) report(err error) int {
	if err == nil {
		return ExitOK
	}
	var wrong *flags.Error
	if errors.As(err, &wrong) {
		if wrong.Type == flags.ErrHelp {
			fmt.Fprintln(a.stdout, wrong.Message)
			return ExitOK
		}
		err = merry.Append(ErrUsage, wrong.Message)
	}
	fmt.Fprintln(a.stderr, "dragonflyctl:", err)
	fmt.Fprintln(a.stderr, "  next:", adviceOf(err))
	return exitCode(err)
}

func versionText(v uint64) string { return strconv.FormatUint(v, 10) }
