// Command spreadbench measures the distribution of records: the time from the
// acceptance of a change until every router has it in force, the calls to the
// platform, the control bytes and the memory. All daemons run in this process
// and communicate over loopback; the platform is the stand-in.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Convergence convergenceCommand `command:"convergence" description:"time from the acceptance of a change until every router has it in force"`
	Calls       callsCommand       `command:"calls" description:"platform calls per second for several numbers of routers"`
	Bytes       bytesCommand       `command:"bytes" description:"control bytes per second of each daemon"`
	Leaving     leavingCommand     `command:"leaving" description:"time from an endpoint's change to leaving until every router has it"`
	Memory      memoryCommand      `command:"memory" description:"heap bytes per record, member and endpoint"`
}

func main() {
	parser := flags.NewParser(&options{}, flags.Default)
	if _, err := parser.Parse(); err != nil {
		var usage *flags.Error
		if errors.As(err, &usage) {
			os.Exit(2)
		}
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
