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

// Limits of a bounded logger.
const (
	// queueLines is the number of lines queued for a slow output.
	queueLines = 4096
	// batchBytes is the size at which a batch of lines is written, which saves
	// a busy daemon a system call per line.
	batchBytes = 64 << 10
	// burstSeconds is the burst size, in seconds of the permitted rate.
	burstSeconds = 2
	// reportInterval is the minimum time between two lines that report dropped
	// lines.
	reportInterval = time.Second
)

// Bounded is a logger that never blocks and limits the volume of its output. A
// daemon that waited for a pipe which nobody reads would stop serving; one that
// logged every request of a flood would spend its CPU time on logging. Dropped
// lines are counted, and the count is logged.
//
// The library's own asynchronous writer is not used, because it panics if a
// line is logged while it is being closed.
type Bounded struct {
	*log.Logger
	out *boundedWriter
}

// NewBounded returns a logger that writes at most bytesPerSecond. Warnings and
// errors are exempt from this limit, but are dropped if the queue is full.
func NewBounded(w io.Writer, daemon, id, level string, bytesPerSecond int, registry gometrics.Registry) *Bounded {
	out := &boundedWriter{
		dst: w, lines: make(chan []byte, queueLines), stop: make(chan struct{}), done: make(chan struct{}),
		limit:   rate.NewLimiter(rate.Limit(bytesPerSecond), burstSeconds*bytesPerSecond),
		dropped: gometrics.GetOrRegisterCounter("log_lines_dropped_total", registry),
	}
	b := &Bounded{Logger: newLogger(out, daemon, id, level), out: out}
	out.report = func(lines int64) { b.Warn().Str("event", "log_lines_dropped").Int64("lines", lines).Msg("") }
	go out.run()
	return b
}

// Close writes the queued lines and returns when they are written or the given
// time has passed. Lines that are logged later are dropped.
func (b *Bounded) Close(timeout time.Duration) {
	close(b.out.stop)
	select {
	case <-b.out.done:
	case <-time.After(timeout):
	}
}

// boundedWriter drops lines that exceed the rate or find the queue full.
type boundedWriter struct {
	dst     io.Writer
	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	limit   *rate.Limiter
	dropped gometrics.Counter
	report  func(lines int64)
	// unreported counts the lines dropped since the last report; lastReport is
	// its time in Unix nanoseconds.
	unreported atomic.Int64
	lastReport atomic.Int64
}

// WriteEntry implements log.Writer.
func (w *boundedWriter) WriteEntry(e *log.Entry) (int, error) {
	now := time.Now()
	line := e.Value()
	if e.Level < log.WarnLevel && !w.limit.AllowN(now, len(line)) {
		w.drop()
		return 0, nil
	}
	// The line is cloned because the library reuses the entry's buffer.
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
	w.unreported.Add(1)
	w.dropped.Inc(1)
}

// maybeReport logs the number of dropped lines, at most once per reportInterval.
func (w *boundedWriter) maybeReport(now time.Time) {
	last := w.lastReport.Load()
	if w.unreported.Load() == 0 || now.UnixNano()-last < int64(reportInterval) {
		return
	}
	if w.lastReport.CompareAndSwap(last, now.UnixNano()) {
		w.report(w.unreported.Swap(0))
	}
}

// run writes lines until the logger is closed, and then the queued ones.
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

// write adds queued lines to the batch, writes it, and returns its buffer.
func (w *boundedWriter) write(batch []byte) []byte {
	for len(batch) < batchBytes && len(w.lines) > 0 {
		batch = append(batch, <-w.lines...)
	}
	// A failure to write the log can't be logged.
	_, _ = w.dst.Write(batch)
	return batch
}
