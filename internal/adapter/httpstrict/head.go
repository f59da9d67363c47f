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
		status, minor, err := checkStatusLine(line)
		if err != nil {
			return err
		}
		if err := checkNames(fields); err != nil {
			return err
		}
		if status/100 != 1 {
			return checkFraming(minor, fields)
		}
	}
}

// The range of valid status codes.
const (
	minStatus = 100
	maxStatus = 599
)

// checkStatusLine checks a status line and returns its status code and the minor version of
// HTTP/1. A switch of protocols is invalid, because no request asks for one.
func checkStatusLine(line string) (status, minor int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, reason, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	major, minor, ok := http.ParseHTTPVersion(version)
	if !ok || major != 1 {
		return 0, 0, merry.Prependf(ErrInvalid, "version %.16q", version)
	}
	if !httpguts.ValidHeaderFieldValue(reason) {
		return 0, 0, merry.Prependf(ErrInvalid, "reason %.64q", reason)
	}
	status, err = strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return 0, 0, merry.Prependf(ErrInvalid, "status %.8q", code)
	}
	return status, minor, nil
}

// checkFraming checks how a body is delimited, as far as net/http doesn't. It ignores a transfer
// coding in HTTP/1.0, so that the chunk sizes count as part of the body, and a length beside one.
func checkFraming(minor int, fields textproto.MIMEHeader) error {
	if len(fields["Transfer-Encoding"]) == 0 {
		return nil
	}
	switch {
	case minor == 0:
		return merry.Prepend(ErrInvalid, "a transfer coding in HTTP/1.0")
	case len(fields["Content-Length"]) > 0:
		return merry.Prepend(ErrInvalid, "a transfer coding and a length")
	}
	return nil
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
