// Package eventstream cuts a stream of server-sent events into whole events
// without changing a byte of them.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"
)

// ContentType is the media type of streams of events.
const ContentType = "text/event-stream"

// MaxEventBytes bounds one event: what is longer is no event of ours.
const MaxEventBytes = 1 << 20

// firstBuffer holds most events; a longer one makes it grow.
const firstBuffer = 1 << 10

// ErrTorn: the stream ended inside an event.
var ErrTorn = merry.Sentinel("eventstream: the stream ended inside an event")

// Is reports whether a media type is that of streams of events.
func Is(contentType string) bool {
	media, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(media), ContentType)
}

// Event is one event.
type Event struct {
	// ID is the event's id, empty where it has none.
	ID string
	// Raw is the event as it came, with the blank line that ends it. It is
	// valid until the next call of Next.
	Raw []byte
}

// Reader reads events.
type Reader struct {
	scanner *bufio.Scanner
	torn    bool
}

// NewReader reads the events of r.
func NewReader(r io.Reader) *Reader {
	reader := &Reader{scanner: bufio.NewScanner(r)}
	reader.scanner.Buffer(make([]byte, 0, firstBuffer), MaxEventBytes)
	reader.scanner.Split(reader.split)
	return reader
}

// Next returns the next whole event. The error is io.EOF at the end of the
// stream, ErrTorn where it ends inside an event, else that of the source.
// A torn event is never returned: a caller that had half of one could not be
// served the rest by another run.
func (r *Reader) Next() (Event, error) {
	if !r.scanner.Scan() {
		switch {
		case r.scanner.Err() != nil:
			return Event{}, r.scanner.Err()
		case r.torn:
			return Event{}, merry.Wrap(ErrTorn)
		}
		return Event{}, io.EOF
	}
	raw := r.scanner.Bytes()
	return Event{ID: idOf(raw), Raw: raw}, nil
}

// split ends a token behind a blank line.
func (r *Reader) split(data []byte, atEOF bool) (int, []byte, error) {
	if end := endOfEvent(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		r.torn = true
		return len(data), nil, bufio.ErrFinalToken
	}
	return 0, nil, nil
}

// endOfEvent returns the length of the first event, or zero.
func endOfEvent(data []byte) int {
	first := 0
	for _, blank := range [...]string{"\n\n", "\r\n\r\n"} {
		at := bytes.Index(data, []byte(blank))
		if at >= 0 && (first == 0 || at+len(blank) < first) {
			first = at + len(blank)
		}
	}
	return first
}

// idOf reads the event's id. What the library can't read has none, which only
// keeps the stream from being continued elsewhere.
func idOf(raw []byte) string {
	for e, err := range sse.Read(bytes.NewReader(raw), nil) {
		if err != nil {
			return ""
		}
		return e.LastEventID
	}
	return ""
}
