package httpstrict

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalid means that what a server sent isn't a valid response.
var ErrInvalid = merry.Sentinel("http: not a valid response")

// maxHeadBytes limits the heads of one response, interim ones included.
const maxHeadBytes = 64 << 10

// checkHeads checks the heads at the beginning of what a server sent in response to a request:
// those of interim responses and that of the final one.
func checkHeads(received []byte) error {
	r := textproto.NewReader(bufio.NewReaderSize(bytes.NewReader(received), len(received)))
	for {
		line, err := r.ReadLine()
		if err != nil {
			return merry.Wrap(ErrInvalid, merry.WithCause(err))
		}
		fields, err := r.ReadMIMEHeader()
		if err != nil {
			return merry.Wrap(ErrInvalid, merry.WithCause(err))
		}
		if err := checkNames(fields); err != nil {
			return err
		}
		if !isInterim(line) {
			return nil
		}
	}
}

// isInterim reports whether a status line is that of a response which another one follows.
func isInterim(line string) bool {
	_, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := strconv.Atoi(code)
	return err == nil && status/100 == 1 && status != http.StatusSwitchingProtocols
}

// checkNames checks the names of header or trailer fields. textproto accepts blanks in them.
func checkNames(fields textproto.MIMEHeader) error {
	for name := range fields {
		if !httpguts.ValidHeaderFieldName(name) {
			return merry.Prependf(ErrInvalid, "field name %.64q", name)
		}
	}
	return nil
}

// checkedBody is a chunked body, after which a trailer may come.
type checkedBody struct {
	io.ReadCloser
	res *http.Response
}

func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := checkNames(textproto.MIMEHeader(b.res.Trailer)); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
