package platformemulator

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/fescuespindle/fescuespindle/internal/platform"
	"github.com/fescuespindle/fescuespindle/internal/sleeper"
)

// Paths by which tests and demos drive the stand-in itself.
const (
	PathFaults = "/admin/faults"
	PathCounts = "/admin/counts"
	PathListed = "/admin/vms"
)

const (
	maxBody          = 64 << 20
	weightsPerSecond = 20
	percent          = 100
)

// Emulator is the platform stand-in; it serves HTTP.
type Emulator struct {
	table   *Table
	weights *rate.Limiter

	mu      sync.Mutex
	objects map[string][]byte
	list    []platform.VM
	shown   []platform.VM
	showAt  time.Time
	faults  platform.Faults
	writes  *rate.Limiter
	reads   *rate.Limiter
	random  *rand.Rand

	counts counters
}

type counters struct {
	writes, reads, limited, bytesIn, bytesOut, objectPut, objectGet atomic.Uint64
}

// New returns a platform without faults. The seed decides which answers are
// lost once the fault is switched on.
func New(seed uint64) *Emulator {
	e := &Emulator{
		table:   NewTable(),
		weights: rate.NewLimiter(weightsPerSecond, weightsPerSecond),
		objects: map[string][]byte{},
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
	e.SetFaults(platform.Faults{})
	return e
}

// SetFaults replaces the faults in force.
func (e *Emulator) SetFaults(faults platform.Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
	e.writes = limiterFor(faults.WritesPerSecond)
	e.reads = limiterFor(faults.ReadsPerSecond)
}

func limiterFor(perSecond int) *rate.Limiter {
	if perSecond == 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// SetVMs replaces the list of VMs. Readers see it after the list's lag.
func (e *Emulator) SetVMs(vms []platform.VM) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refreshList()
	e.list = vms
	e.showAt = time.Now().Add(time.Duration(e.faults.ListLagMilliseconds) * time.Millisecond)
	e.refreshList()
}

// MarkLeaving marks one VM of the list as leaving.
func (e *Emulator) MarkLeaving(id string) {
	e.mu.Lock()
	vms := append([]platform.VM(nil), e.list...)
	e.mu.Unlock()
	for i := range vms {
		if vms[i].ID == id {
			vms[i].Leaving = true
		}
	}
	e.SetVMs(vms)
}

// refreshList shows the newest list once its lag is over. The caller holds mu.
func (e *Emulator) refreshList() {
	if !time.Now().Before(e.showAt) {
		e.shown = e.list
	}
}

// Table returns the table behind the interface, for tests that look into it.
func (e *Emulator) Table() *Table { return e.table }

// Counts returns what the stand-in has carried out so far.
func (e *Emulator) Counts() platform.Counts {
	return platform.Counts{
		Writes: e.counts.writes.Load(), Reads: e.counts.reads.Load(), Limited: e.counts.limited.Load(),
		BytesIn: e.counts.bytesIn.Load(), BytesOut: e.counts.bytesOut.Load(),
		ObjectPut: e.counts.objectPut.Load(), ObjectGet: e.counts.objectGet.Load(),
	}
}

// ServeHTTP serves the platform's interface and the stand-in's own.
func (e *Emulator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/admin/") {
		e.serveAdmin(w, r)
		return
	}
	e.mu.Lock()
	faults := e.faults
	e.mu.Unlock()
	if faults.Outage {
		http.Error(w, "platform outage", http.StatusServiceUnavailable)
		return
	}
	if !pause(r, time.Duration(faults.DelayMilliseconds)*time.Millisecond) {
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.counts.bytesIn.Add(uint64(len(body)))
	e.route(w, r, body)
}

func (e *Emulator) route(w http.ResponseWriter, r *http.Request, body []byte) {
	switch {
	case r.URL.Path == platform.PathTransact:
		e.serveTransact(w, body)
	case r.URL.Path == platform.PathRead:
		serveRows(e, w, body, func(q platform.ReadRequest) []platform.Row { return e.table.Read(q.Keys) })
	case r.URL.Path == platform.PathScan:
		serveRows(e, w, body, e.table.Scan)
	case strings.HasPrefix(r.URL.Path, platform.PathObjects):
		e.serveObject(w, r, body)
	case r.URL.Path == platform.PathVMs:
		e.mu.Lock()
		e.refreshList()
		list := platform.VMList{VMs: e.shown}
		e.mu.Unlock()
		e.serveList(w, r, list)
	case strings.HasPrefix(r.URL.Path, platform.PathWeights):
		e.serveWeights(w)
	default:
		http.NotFound(w, r)
	}
}

// serveList answers with the list, unless the client has this very one.
func (e *Emulator) serveList(w http.ResponseWriter, r *http.Request, list platform.VMList) {
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	tag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(text), 16))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	e.counts.bytesOut.Add(uint64(len(text)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (e *Emulator) serveTransact(w http.ResponseWriter, body []byte) {
	var tx platform.Transaction
	if err := json.Unmarshal(body, &tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	allowed := e.writes.Allow()
	lost := e.random.IntN(percent) < e.faults.LostAnswerPercent
	e.mu.Unlock()
	if !allowed {
		e.refuse(w)
		return
	}
	e.counts.writes.Add(1)
	reply := e.table.Transact(tx)
	if lost {
		panic(http.ErrAbortHandler) // drops the connection after the effect
	}
	e.reply(w, reply)
}

func serveRows[Q any](e *Emulator, w http.ResponseWriter, body []byte, read func(Q) []platform.Row) {
	var query Q
	if err := json.Unmarshal(body, &query); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.allowRead() {
		e.refuse(w)
		return
	}
	e.reply(w, platform.Rows{Rows: read(query)})
}

func (e *Emulator) allowRead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.reads.Allow() {
		return false
	}
	e.counts.reads.Add(1)
	return true
}

func (e *Emulator) serveObject(w http.ResponseWriter, r *http.Request, body []byte) {
	key := strings.TrimPrefix(r.URL.Path, platform.PathObjects)
	e.mu.Lock()
	defer e.mu.Unlock()
	switch r.Method {
	case http.MethodPut:
		e.counts.objectPut.Add(1)
		e.objects[key] = body
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		e.counts.objectGet.Add(1)
		object, found := e.objects[key]
		if !found {
			http.NotFound(w, r)
			return
		}
		e.counts.bytesOut.Add(uint64(len(object)))
		_, _ = w.Write(object)
	case http.MethodDelete:
		delete(e.objects, key)
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (e *Emulator) serveWeights(w http.ResponseWriter) {
	if !e.weights.Allow() {
		e.refuse(w)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Emulator) refuse(w http.ResponseWriter) {
	e.counts.limited.Add(1)
	w.Header().Set("Retry-After", "1")
	http.Error(w, "rate limit", http.StatusTooManyRequests)
}

func (e *Emulator) reply(w http.ResponseWriter, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	e.counts.bytesOut.Add(uint64(len(text)))
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (e *Emulator) serveAdmin(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case PathFaults:
		var faults platform.Faults
		if decodeAdmin(w, r, &faults) {
			e.SetFaults(faults)
		}
	case PathListed:
		var list platform.VMList
		if decodeAdmin(w, r, &list) {
			e.SetVMs(list.VMs)
		}
	case PathCounts:
		_ = json.NewEncoder(w).Encode(e.Counts())
	default:
		http.NotFound(w, r)
	}
}

func decodeAdmin(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// pause waits, and tells whether the caller is still there.
func pause(r *http.Request, delay time.Duration) bool {
	if delay <= 0 {
		return true
	}
	return sleeper.Sleep(r.Context(), delay)
}
