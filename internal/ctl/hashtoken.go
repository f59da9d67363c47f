package ctl

import (
	"fmt"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpserver"
)

// Bounds of an admin token, in bytes. A shorter token can be guessed.
const (
	minTokenBytes = 16
	maxTokenBytes = 1024
)

// hashTokenCommand prints the hash of a token. It contacts no daemon.
type hashTokenCommand struct{ app *app }

// Execute implements flags.Commander.
func (c *hashTokenCommand) Execute([]string) error {
	raw, err := io.ReadAll(io.LimitReader(c.app.stdin, maxTokenBytes+1))
	if err != nil {
		return merry.Prepend(err, "read the token from standard input")
	}
	token := strings.TrimSpace(string(raw))
	if len(token) < minTokenBytes || len(token) > maxTokenBytes {
		return withAdvice(merry.Appendf(ErrUsage, "a token must have %d to %d bytes", minTokenBytes, maxTokenBytes),
			"pass the token on standard input, for example: openssl rand -hex 24 | tee admin-token | dragonflyctl hash-token")
	}
	_, err = fmt.Fprintln(c.app.stdout, httpserver.HashToken(token))
	return err
}
