package spread

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
)

// PartID is the hash of the content of a part of a record's body. Parts shared by
// two versions have the same id.
type PartID uint64

// Sizes of parts, in bytes before compression. Changing one route among thousands
// requires sending the affected parts and the list of all part ids. Smaller parts
// reduce the former and lengthen the latter.
const (
	minPartSize = 2 << 10
	maxPartSize = 32 << 10
	// boundaryMask selects on average one in 4,096 bytes beyond the minimum size
	// as the end of a part.
	boundaryMask = 1<<12 - 1
)

// ErrInvalidPart is the error for a part that can't be decompressed.
var ErrInvalidPart = merry.Sentinel("spread: part can't be unpacked")

// IDOf returns the id of a part with this content.
func IDOf(content []byte) PartID { return PartID(xxhash.Sum64(content)) }

// gear maps each byte value to a fixed pseudo-random number for the rolling hash
// of Cut. It must be the same in all builds.
var gear = func() (out [256]uint64) {
	for i := range out {
		out[i] = xxhash.Sum64([]byte{byte(i)})
	}
	return out
}()

// Split divides content by content-defined chunking: a rolling hash of the bytes
// determines the boundaries. A change only moves the boundaries near it, so all
// other parts stay the same.
func Split(content []byte) [][]byte {
	var parts [][]byte
	begin := 0
	var rolling uint64
	for i, b := range content {
		rolling = rolling<<1 + gear[b]
		size := i + 1 - begin
		if size >= maxPartSize || size >= minPartSize && rolling>>32&boundaryMask == 0 {
			parts = append(parts, content[begin:i+1])
			begin, rolling = i+1, 0
		}
	}
	if begin < len(content) {
		parts = append(parts, content[begin:])
	}
	return parts
}

var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.DefaultCompression)
	if err != nil {
		// NewWriter fails only for an invalid compression level.
		panic(err)
	}
	return w
}}

// Pack compresses the content of a part for transfer.
func Pack(content []byte) []byte {
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	var out bytes.Buffer
	w.Reset(&out)
	// A buffer's Write never fails.
	_, _ = w.Write(content)
	_ = w.Close()
	return out.Bytes()
}

// Unpack returns the content of a compressed part. Content larger than the largest
// part is an error, so that a peer can't exhaust the memory.
func Unpack(packed []byte) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxPartSize+1))
	if err != nil {
		return nil, merry.Prepend(ErrInvalidPart, err.Error())
	}
	if len(content) > maxPartSize {
		return nil, merry.Prepend(ErrInvalidPart, "content larger than the largest part")
	}
	return content, nil
}
