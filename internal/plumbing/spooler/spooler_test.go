package spooler_test

import (
	"bytes"
	"io"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/rationer"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/spooler"
)

const (
	// budgetBytes is the memory for all answers.
	budgetBytes = 1 << 20
	// sparedBytes of it are not for answers that are kept.
	sparedBytes = 512 << 10
	// eventTimeout bounds each wait for an expected event.
	eventTimeout = 30 * time.Second
)

// group is spooler.Tasks.
type group struct{ sync.WaitGroup }

func (g *group) Go(_ string, task func()) { g.WaitGroup.Go(task) }

// pair is a connection of a Spooler and its reader, whose buffer is small.
type pair struct {
	writer net.Conn
	reader *net.TCPConn
}

type setup struct {
	t        *testing.T
	memory   *rationer.Rationer
	counters *counter.Counters
	spooler  *spooler.Spooler
	listener net.Listener
}

func newSetup(t *testing.T) *setup {
	t.Helper()
	s := &setup{t: t, memory: rationer.New(budgetBytes), counters: counter.New(metrics.NewSet())}
	tasks := &group{}
	t.Cleanup(tasks.Wait)
	s.spooler = spooler.New(s.memory, tasks, s.counters, slog.New(slog.DiscardHandler),
		spooler.WithSpared(sparedBytes))
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	s.listener = s.spooler.Wrap(plain)
	t.Cleanup(func() { _ = s.listener.Close() })
	return s
}

func (s *setup) connect() pair {
	s.t.Helper()
	dialed, err := net.Dial("tcp", s.listener.Addr().String())
	qt.Assert(s.t, err, qt.IsNil)
	reader := dialed.(*net.TCPConn)
	qt.Assert(s.t, reader.SetReadBuffer(4<<10), qt.IsNil)
	writer, err := s.listener.Accept()
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(func() {
		_ = reader.Close()
		_ = writer.Close()
	})
	return pair{writer: writer, reader: reader}
}

// fill writes until bytes are kept, and returns what was written.
func (s *setup) fill(p pair) []byte {
	s.t.Helper()
	var all []byte
	for n := 0; s.spooler.Behind() == 0; n++ {
		part := bytes.Repeat([]byte{byte(n)}, 10_000)
		_, err := p.writer.Write(part)
		qt.Assert(s.t, err, qt.IsNil)
		all = append(all, part...)
	}
	return all
}

func (s *setup) eventually(what string, happened func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(eventTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if happened() {
			return
		}
	}
	s.t.Fatal("timeout waiting for:", what)
}

// Guards against: the request of a caller that reads slowly, and so its upstream, waits for that caller.
func TestAnswerIsKeptForASlowReader(t *testing.T) {
	s := newSetup(t)
	p := s.connect()
	want := s.fill(p)
	more := bytes.Repeat([]byte("x"), 100_000)
	_, err := p.writer.Write(more) // doesn't wait
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, p.writer.Close(), qt.IsNil)
	qt.Check(t, s.memory.Available() < budgetBytes, qt.IsTrue)
	got, err := io.ReadAll(p.reader)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, bytes.Equal(got, append(want, more...)), qt.IsTrue, qt.Commentf("%d bytes", len(got)))
	s.spooler.Flush(t.Context())
	s.eventually("memory", func() bool { return s.memory.Available() == budgetBytes })
}

// Guards against: a caller that stops reading keeps its connection and its memory.
func TestReaderThatStopsIsDropped(t *testing.T) {
	s := newSetup(t)
	p := s.connect()
	s.fill(p)
	s.eventually("dropped", func() bool { return s.spooler.Behind() == 0 })
	_, err := p.writer.Write([]byte("x"))
	qt.Check(t, err, qt.ErrorIs, spooler.ErrNotRead)
	qt.Check(t, s.memory.Available(), qt.Equals, int64(budgetBytes))
	qt.Check(t, s.counters.Get("answers_not_read_total"), qt.Equals, uint64(1))
}

// Guards against: the same, for a caller that reads a byte now and then, while an upstream sends without end.
func TestReaderOfSingleBytesIsDropped(t *testing.T) {
	s := newSetup(t)
	p := s.connect()
	var reads sync.WaitGroup
	reads.Go(func() {
		for one := make([]byte, 1); ; time.Sleep(time.Second) {
			if _, err := p.reader.Read(one); err != nil {
				return
			}
		}
	})
	part := make([]byte, 10_000)
	for {
		if _, err := p.writer.Write(part); err != nil {
			qt.Check(t, err, qt.ErrorIs, spooler.ErrNotRead)
			break
		}
		qt.Assert(t, s.memory.Available() >= budgetBytes-256<<10, qt.IsTrue)
	}
	_ = p.reader.Close()
	reads.Wait()
}

// Guards against: an answer whose end its connection's end marks looks complete to a caller that was dropped, or the
// kernel keeps what was not sent for as long as the caller likes.
func TestDroppedReaderSeesThatItsAnswerIsCut(t *testing.T) {
	s := newSetup(t)
	p := s.connect()
	s.fill(p)
	s.eventually("dropped", func() bool { return s.spooler.Behind() == 0 })
	_, err := io.Copy(io.Discard, p.reader)
	qt.Check(t, err, qt.ErrorIs, syscall.ECONNRESET)
}

// Guards against: many callers that read nothing take more memory together than there is, or delay another one.
func TestManySlowReadersShareTheirMemory(t *testing.T) {
	s := newSetup(t)
	var writers sync.WaitGroup
	const readers = 20
	const raceBytes = readers * 10_000 // reservations at the same moment
	for range readers {
		p := s.connect()
		writers.Go(func() {
			for part := make([]byte, 10_000); ; {
				qt.Check(t, s.memory.Available() >= sparedBytes-raceBytes, qt.IsTrue)
				if _, err := p.writer.Write(part); err != nil {
					return
				}
			}
		})
	}
	s.eventually("slow readers", func() bool { return s.spooler.Behind() == readers })
	ordinary := s.connect()
	_, err := ordinary.writer.Write([]byte("answer"))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ordinary.writer.Close(), qt.IsNil)
	got, err := io.ReadAll(ordinary.reader)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(got), qt.Equals, "answer")
	writers.Wait()
	s.eventually("memory", func() bool { return s.memory.Available() == budgetBytes })
}

// Guards against: callers that read nothing of answers after which the server closes take a descriptor each, for as
// long as they like.
func TestClosedConnectionsAreFew(t *testing.T) {
	s := newSetup(t)
	const readers, most = 160, 128
	for range readers {
		p := s.connect()
		before := s.spooler.Behind()
		for part := make([]byte, 10_000); s.spooler.Behind() == before; {
			_, err := p.writer.Write(part)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, p.writer.Close(), qt.IsNil)
	}
	s.eventually("few are kept", func() bool { return s.spooler.Behind() <= most })
	s.eventually("none is kept", func() bool { return s.spooler.Behind() == 0 })
	qt.Check(t, s.memory.Available(), qt.Equals, int64(budgetBytes))
}

func BenchmarkWrite(b *testing.B) {
	run := func(b *testing.B, wrap func(net.Listener) net.Listener) {
		b.Helper()
		plain, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(b, err, qt.IsNil)
		l := wrap(plain)
		defer func() { _ = l.Close() }()
		reader, err := net.Dial("tcp", l.Addr().String())
		qt.Assert(b, err, qt.IsNil)
		defer func() { _ = reader.Close() }()
		writer, err := l.Accept()
		qt.Assert(b, err, qt.IsNil)
		event, buffer := make([]byte, 200), make([]byte, 200)
		b.ReportAllocs()
		for b.Loop() {
			_, _ = writer.Write(event)
			_, _ = io.ReadFull(reader, buffer)
		}
	}
	b.Run("plain", func(b *testing.B) { run(b, func(l net.Listener) net.Listener { return l }) })
	b.Run("spooled", func(b *testing.B) {
		s := spooler.New(rationer.New(budgetBytes), &group{}, counter.New(metrics.NewSet()), slog.New(slog.DiscardHandler))
		run(b, s.Wrap)
	})
}
