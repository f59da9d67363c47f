package httpstrict

import (
	"io"

	"github.com/ansel1/merry/v2"
)

// ErrTooLarge means that a body is larger than its reader allows.
var ErrTooLarge = merry.Sentinel("http: the body is too large")

// ReadAll reads a body to its end, which shows that it is whole. It returns ErrTooLarge if the
// body has more than maxBytes.
func ReadAll(body io.Reader, maxBytes int64) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(raw)) > maxBytes:
		return nil, ErrTooLarge
	}
	return raw, nil
}
