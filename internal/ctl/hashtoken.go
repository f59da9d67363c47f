package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
)

// Bounds of an admin token, in bytes. A shorter one can be guessed.
const (
	leastToken = 16
	mostToken  = 1024
)

// hashTokenCommand prints the hash of a token. It asks no daemon.
type hashTokenCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *hashTokenCommand) Execute([]string) error {
	raw, err := io.ReadAll(io.LimitReader(c.app.stdin, mostToken+1))
	if err != nil {
		return merry.Prepend(err, "read the token")
	}
	token := strings.TrimSpace(string(raw))
	if len(token) < leastToken || len(token) > mostToken {
		return withAdvice(merry.Appendf(ErrUsage, "a token has %d to %d bytes", leastToken, mostToken),
			"give it on standard input, for example: openssl rand -hex 24 | tee admin-token | dragonflyctl hash-token")
	}
	_, err = fmt.Fprintln(c.app.stdout, httpserver.HashToken(token))
	return err
}
