package jsonlog

import (
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

// Bounds of a bounded logger.
const (
	// queueLines is how many lines wait for an output that is slow.
	queueLines = 4096
	// batchBytes is how much is written at once, which spares a busy daemon a
	// system call for each line.
	batchBytes = 64 << 10
	// burstSeconds is how many seconds of its rate a burst may use at once.
	burstSeconds = 2
	// reportEvery is the least time between two lines that count what is lost.
	reportEvery = time.Second
)

// Bounded is a logger whose output can neither grow without bound nor hold up
// whoever logs. A daemon that waited for a pipe that nobody reads would stop
// to serve; one that logged each of a flood of requests would spend its
// processor on it. What is lost is counted, and the count is logged.
//
// The library's own asynchronous writer is not used, as it panics where a line
// is logged while it is closed.
type Bounded struct {
	*log.Logger
	out *boundedWriter
}

// NewBounded returns a logger that writes at most so many bytes a second.
// Warnings and errors go past that bound, but not past a full queue.
func NewBounded(w io.Writer, daemon, id, level string, bytesPerSecond int, registry gometrics.Registry) *Bounded {
	out := &boundedWriter{
		to: w, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		limit: rate.NewLimiter(rate.Limit(bytesPerSecond), burstSeconds*bytesPerSecond),
		total: gometrics.GetOrRegisterCounter("log_lines_dropped_total", registry),
	}
	b := &Bounded{Logger: newLogger(out, daemon, id, level), out: out}
	out.report = func(lines int64) { b.Warn().Str("event", "log_lines_dropped").Int64("lines", lines).Msg("") }
	go out.run()
	return b
}

// Close writes what waits, for as long as the time given. Lines that come
// later are dropped.
func (b *Bounded) Close(within time.Duration) {
	close(b.out.stop)
	select {
	case <-b.out.done:
	case <-time.After(within):
	}
}

// boundedWriter drops what is over the rate or finds the queue full.
type boundedWriter struct {
	to     io.Writer
	lines  chan []byte
	stop   chan struct{}
	done   chan struct{}
	limit  *rate.Limiter
	total  gometrics.Counter
	report func(lines int64)
	// lost counts the lines since the last report, at reported in Unix
	// nanoseconds.
	lost     atomic.Int64
	reported atomic.Int64
}

// WriteEntry implements log.Writer.
func (w *boundedWriter) WriteEntry(e *log.Entry) (int, error) {
	now := time.Now()
	line := e.Value()
	if e.Level < log.WarnLevel && !w.limit.AllowN(now, len(line)) {
		w.drop()
		return 0, nil
	}
	// The entry's buffer is used again by the next line.
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.drop()
		return 0, nil
	}
	w.maybeReport(now)
	return len(line), nil
}

func (w *boundedWriter) drop() {
	w.lost.Add(1)
	w.total.Inc(1)
}

// maybeReport logs what was lost, in a line of its own.
func (w *boundedWriter) maybeReport(now time.Time) {
	last := w.reported.Load()
	if w.lost.Load() == 0 || now.UnixNano()-last < int64(reportEvery) {
		return
	}
	if w.reported.CompareAndSwap(last, now.UnixNano()) {
		w.report(w.lost.Swap(0))
	}
}

// run writes what comes until the end, and then what is left.
func (w *boundedWriter) run() {
	defer close(w.done)
	var batch []byte
	for {
		select {
		case line := <-w.lines:
			batch = w.write(append(batch[:0], line...))
		case <-w.stop:
			for len(w.lines) > 0 {
				batch = w.write(append(batch[:0], <-w.lines...))
			}
			return
		}
	}
}

// write adds the lines that wait and writes all at once.
func (w *boundedWriter) write(batch []byte) []byte {
	for len(batch) < batchBytes && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	// There is nowhere to say that the log itself can't be written.
	_, _ = w.to.Write(batch)
	return batch
}
