package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// PartID names a part of a record's body by the hash of its content, so that
// parts that two versions share are known to be the same.
type PartID uint64

// Sizes of parts, in bytes before they are packed. A change of one route among
// thousands costs the parts that it touches and the list of all parts: smaller
// parts make the first cheaper and the second longer.
const (
	minPart = 2 << 10
	maxPart = 32 << 10
	// cutMask has a cut follow one in 4,096 bytes past the least size.
	cutMask = 1<<12 - 1
)

// ErrPart is a part that can't be unpacked.
var ErrPart = merry.Sentinel("spread: part can't be unpacked")

// IDOf is the id of a part's content.
func IDOf(content []byte) PartID { return PartID(xxhash.Sum64(content)) }

// gear gives each byte a number, the same in all builds.
var gear = func() (out [256]uint64) {
	for i := range out {
		out[i] = xxhash.Sum64([]byte{byte(i)})
	}
	return out
}()

// Cut divides content where the bytes themselves say so: a change moves no cut
// but those next to it, so that all other parts stay as they were.
func Cut(content []byte) [][]byte {
	var parts [][]byte
	begin := 0
	var rolling uint64
	for i, b := range content {
		rolling = rolling<<1 + gear[b]
		size := i + 1 - begin
		if size >= maxPart || size >= minPart && rolling>>32&cutMask == 0 {
			parts = append(parts, content[begin:i+1])
			begin, rolling = i+1, 0
		}
	}
	if begin < len(content) {
		parts = append(parts, content[begin:])
	}
	return parts
}

var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		// Only an unknown level is an error.
		panic(err)
	}
	return w
}}

// Pack compresses a part for the way.
func Pack(content []byte) []byte {
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// A buffer's Write never fails.
	_, _ = w.Write(content)
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the content of a packed part.
func Unpack(packed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPart+1))
	if err != nil {
		return nil, merry.Prepend(ErrPart, err.Error())
	}
	if len(content) > maxPart {
		return nil, merry.Prepend(ErrPart, "too large")
	}
	return content, nil
}
