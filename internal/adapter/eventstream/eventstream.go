// Package eventstream splits a stream of server-sent events into complete
// events and leaves their bytes unchanged.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/tmaxmax/go-sse"
)

// ContentType is the media type of event streams.
const ContentType = "text/event-stream"

// MaxEventBytes limits the size of one event. The system's own events are
// shorter.
const MaxEventBytes = 1 << 20

// initialBufferBytes is the initial buffer size. It suffices for most events;
// the buffer grows for longer ones.
const initialBufferBytes = 1 << 10

// ErrIncompleteEvent is returned if the stream ends inside an event.
var ErrIncompleteEvent = merry.Sentinel("eventstream: the stream ended inside an event")

// IsEventStream reports whether a Content-Type value is that of an event stream.
func IsEventStream(contentType string) bool {
	media, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(media), ContentType)
}

// Event is one event with its unchanged bytes.
type Event struct {
	// ID is the event's ID, or empty if it has none.
	ID string
	// Empty is set if the block has neither a data nor an id field, as one that holds only
	// comments.
	Empty bool
	// Raw is the event as received, including the blank line that ends it. It
	// is valid until the next call of Next.
	Raw []byte
}

// Reader reads complete events from a stream.
type Reader struct {
	scanner    *bufio.Scanner
	incomplete bool
}

// ErrTooLong is returned for an event that is longer than the limit of the Reader.
var ErrTooLong = bufio.ErrTooLong

// NewReader returns a Reader for events of r of up to MaxEventBytes.
func NewReader(r io.Reader) *Reader { return NewReaderSize(r, MaxEventBytes) }

// NewReaderSize returns a Reader for events of r of up to maxBytes, which are the most that
// it holds.
func NewReaderSize(r io.Reader, maxBytes int) *Reader {
	reader := &Reader{scanner: bufio.NewScanner(r)}
	reader.scanner.Buffer(make([]byte, 0, initialBufferBytes), maxBytes)
	reader.scanner.Split(reader.split)
	return reader
}

// Next returns the next complete event. The error is io.EOF at the end of the
// stream, ErrIncompleteEvent if the stream ends inside an event, otherwise the
// error of the underlying reader. An incomplete event is never returned: another
// run could not serve the rest of it to a caller that has received a part.
func (r *Reader) Next() (Event, error) {
	if !r.scanner.Scan() {
		switch {
		case r.scanner.Err() != nil:
			return Event{}, r.scanner.Err()
		case r.incomplete:
			return Event{}, merry.Wrap(ErrIncompleteEvent)
		}
		return Event{}, io.EOF
	}
	raw := r.scanner.Bytes()
	return Event{ID: eventID(raw), Empty: isEmpty(raw), Raw: raw}, nil
}

// split is a bufio.SplitFunc that ends a token after a blank line.
func (r *Reader) split(data []byte, atEOF bool) (int, []byte, error) {
	if end := eventLength(data); end > 0 {
		return end, data[:end], nil
	}
	if atEOF && len(data) > 0 {
		r.incomplete = true
		return len(data), nil, bufio.ErrFinalToken
	}
	return 0, nil, nil
}

// eventLength returns the length of the first event in data, or zero if data
// contains no complete event.
func eventLength(data []byte) int {
	first := 0
	for _, blank := range [...]string{"\n\n", "\r\n\r\n"} {
		at := bytes.Index(data, []byte(blank))
		if at >= 0 && (first == 0 || at+len(blank) < first) {
			first = at + len(blank)
		}
	}
	return first
}

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\xef\xbb\xbf")

// isEmpty reports whether a block has neither a data nor an id field.
func isEmpty(raw []byte) bool {
	isLineEnd := func(r rune) bool { return r == '\n' || r == '\r' }
	for line := range bytes.FieldsFuncSeq(bytes.TrimPrefix(raw, byteOrderMark), isLineEnd) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if field := string(name); field == "data" || field == "id" {
			return false
		}
	}
	return true
}

// eventID returns the event's ID. If the library can't parse the event, the ID is
// empty; the only consequence is that the stream can't be continued from this
// event at another endpoint.
func eventID(raw []byte) string {
	for e, err := range sse.Read(bytes.NewReader(raw), nil) {
		if err != nil {
			return ""
		}
		return e.LastEventID
	}
	return ""
}
