package oncehttp

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/ansel1/merry/v2"

	"github.com/dragonflyrail/dragonflyrail/internal/adapter/httpstrict"
	"github.com/dragonflyrail/dragonflyrail/internal/port"
)

// DecodeBody reads the body of a response, of up to maxBytes, and decodes it into out. It
// returns port.ErrEndpointLost if the body isn't a whole JSON document.
func DecodeBody(res *http.Response, maxBytes int64, out any) error {
	raw, err := httpstrict.ReadAll(res.Body, maxBytes)
	if err == nil {
		err = json.Unmarshal(raw, out)
	}
	if err != nil {
		return merry.Wrap(port.ErrEndpointLost, merry.WithCause(fmt.Errorf("%w: %w", errInvalidResponse, err)))
	}
	return nil
}
