// Package daemon contains what the daemons' main functions share: the command
// line, the loading of settings, and the common settings fields.
package daemon

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/buildinfo"
	"github.com/dragonflyrail/dragonflyrail/internal/adapter/settings"
)

// Exit codes of the daemons.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitSettings = 3
)

// Common contains the settings that several daemons share.
type Common struct {
	// ID is unique among all daemons of the system.
	ID            string `json:"id" validate:"required,max=64"`
	Host          string `json:"host" validate:"required,ip"`
	FailureDomain string `json:"failure_domain" validate:"required,max=64"`
	Listen        Listen `json:"listen" validate:"required"`
	// AdminTokenSHA256 is the hash of the operators' token, in hex. If it is
	// empty, all admin calls are refused.
	AdminTokenSHA256 string `json:"admin_token_sha256" validate:"omitempty,len=64,hexadecimal"`
	LogLevel         string `json:"log_level" validate:"oneof=debug info warn error"`
	// Keepers are the keepers' peer addresses that are tried first.
	Keepers []string `json:"keepers" validate:"max=64,dive,hostname_port"`
	// DrainTimeout limits the duration of a graceful shutdown.
	DrainTimeout time.Duration `json:"drain_timeout" validate:"min=100ms,max=24h"`
}

// Listen contains the addresses that a daemon listens on. Callers is empty for
// keepers.
type Listen struct {
	Callers string `json:"callers" validate:"omitempty,hostname_port"`
	Admin   string `json:"admin" validate:"required,hostname_port"`
	Peers   string `json:"peers" validate:"required,hostname_port"`
}

// CommonDefaults returns the values of common fields that the file omits.
func CommonDefaults() Common {
	return Common{LogLevel: "info", DrainTimeout: 30 * time.Second}
}

// options is the command line of a daemon.
type options struct {
	Settings string `long:"settings" value-name:"FILE" description:"JSON settings file (required)"`
	Check    bool   `long:"check-settings" description:"check the settings file, report any error in it, and exit"`
	Version  bool   `long:"version" description:"print the version and exit"`
}

// LoadSettings parses the command line and reads the settings file into out, which
// contains the defaults. It returns the file's path. If done is true, the
// process must exit with the code.
func LoadSettings(name, summary string, args []string, out any, stdout, stderr io.Writer) (path string, code int, done bool) {
	var o options
	parser := flags.NewNamedParser(name, flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = summary
	if _, err := parser.AddGroup("Options", "", &o); err != nil {
		fmt.Fprintln(stderr, err)
		return "", ExitFailure, true
	}
	rest, err := parser.ParseArgs(args)
	if code, done := handleParseResult(err, rest, name, stdout, stderr); done {
		return "", code, true
	}
	if o.Version {
		fmt.Fprintln(stdout, name, buildinfo.String())
		return "", ExitOK, true
	}
	if o.Settings == "" {
		fmt.Fprintf(stderr, "%s: --settings FILE is required; see --help\n", name)
		return "", ExitUsage, true
	}
	if err := settings.Load(o.Settings, out); err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return "", ExitSettings, true
	}
	if o.Check {
		fmt.Fprintf(stdout, "%s: settings are valid\n", o.Settings)
		return "", ExitOK, true
	}
	return o.Settings, ExitOK, false
}

func handleParseResult(err error, rest []string, name string, stdout, stderr io.Writer) (int, bool) {
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		fmt.Fprintln(stdout, flagsErr.Message)
		return ExitOK, true
	case err != nil:
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return ExitUsage, true
	case len(rest) > 0:
		fmt.Fprintf(stderr, "%s: unexpected argument %q; see --help\n", name, rest[0])
		return ExitUsage, true
	}
	return ExitOK, false
}
