package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// admission is what this VM knows of the tokens that wait on each route.
type admission struct {
	scanned time.Time // when the last scan began
	waiting map[string]int64
	known   map[string]bool // all jobs that the scan showed
	// granted is what this VM has admitted since the scan.
	granted map[string]int64
	vms     int
}

const (
	// submitPatience is how long a store that refuses is asked again before a job
	// is refused, so that its caller can try another VM in time.
	submitPatience = 700 * time.Millisecond
	// admissionAge is how old a scan may be to admit a job by it alone, and gateAge
	// how old to admit one at the gate, where jobs that it doesn't show are known
	// by their reservations.
	admissionAge = 2 * time.Second
	gateAge      = 400 * time.Millisecond
	// reservationLife is how long a reservation counts: longer than it takes until
	// its job is accepted and other VMs see it.
	reservationLife = 6 * time.Second
	// quickDivisor and grantDivisor bound what is admitted by a scan of up to
	// admissionAge without a reservation: while less than half of the limit waits, all
	// VMs together may grant a quarter of it between two scans.
	quickDivisor = 2
	grantDivisor = 4
	// roomDivisor bounds the same by a scan of up to gateAge, as the part of the room
	// that is left: what one VM has granted since its scan, and what others have
	// granted since before theirs, still fits.
	roomDivisor = 2
)

// reservation is the place that a job has under its route's limit until its
// record can be seen.
type reservation struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Tokens int64
	At     time.Duration // of the store's clock
}

// SetVMCount sets how many VMs admit jobs.
func (k *Keeper) SetVMCount(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admitted.vms = n
}

func (k *Keeper) noteScan(records []VersionedRecord, began time.Time) {
	waiting, known := map[string]int64{}, map[string]bool{}
	for _, r := range records {
		known[r.ID] = true
		if r.Open() {
			waiting[r.Route] += r.Tokens
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &k.admitted
	a.scanned, a.waiting, a.known, a.granted = began, waiting, known, map[string]int64{}
}

// scanAge returns the age of what this VM knows of all jobs.
func (k *Keeper) scanAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.admitted.scanned)
}

// admit finds a place for a job's tokens under its route's limit. It returns
// ErrOverQuota or ErrNotWritten.
func (k *Keeper) admit(ctx context.Context, s Submission, tokens int64) error {
	if s.MaxTokens == 0 || k.grant(s.Route, tokens, k.shareOfLimit(s.Route, s.MaxTokens)) {
		return nil
	}
	if err := k.refresh(ctx, gateAge); err != nil {
		return err
	}
	if k.grant(s.Route, tokens, k.shareOfRoom(s.Route, s.MaxTokens)) {
		return nil
	}
	return k.reserve(ctx, s, tokens)
}

// refresh looks at all jobs, unless what this VM knows of them is younger than an
// age.
func (k *Keeper) refresh(ctx context.Context, age time.Duration) error {
	if k.scanAge() < age {
		return nil
	}
	if _, err := k.Scan(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	return nil
}

// shareOfLimit returns what this VM may admit between two scans without a
// reservation, by one that may be a little old.
func (k *Keeper) shareOfLimit(route string, most int64) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &k.admitted
	if time.Since(a.scanned) > admissionAge || a.vms == 0 || a.waiting[route] > most/quickDivisor {
		return 0
	}
	return most / (grantDivisor * int64(a.vms))
}

// shareOfRoom returns the same by a scan that is new. In a large fleet it is enough
// for a job of each VM as long as there is plenty of room: if all jobs had to pass the
// gate, its one row would let them in one after the other.
func (k *Keeper) shareOfRoom(route string, most int64) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &k.admitted
	if a.vms == 0 {
		return 0
	}
	return (most - a.waiting[route]) / (roomDivisor * int64(a.vms))
}

// grant admits tokens if they fit into this VM's share, with what it has admitted
// since its last scan.
func (k *Keeper) grant(route string, tokens, share int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	granted := k.admitted.granted[route] + tokens
	if granted > share {
		return false
	}
	k.admitted.granted[route] = granted
	return true
}

// reserve writes a reservation into the route's row. The row must still be as it
// was read, so that no two VMs admit jobs by the same sum.
func (k *Keeper) reserve(ctx context.Context, s Submission, tokens int64) error {
	age := gateAge
	for attempt := 0; ; attempt++ {
		if err := k.refresh(ctx, age); err != nil {
			return err
		}
		err := k.reserveOnce(ctx, s, tokens)
		switch {
		case errors.Is(err, ErrOverQuota) && age > 0:
			age = 0 // refuse by what waits now, not by what did
		case errors.Is(err, rowstore.ErrConflict): // another VM has admitted a job meanwhile
			if !retries.Wait(ctx, attempt) {
				return fmt.Errorf("%w: %w", ErrNotWritten, err)
			}
		default:
			return err
		}
	}
}

func (k *Keeper) reserveOnce(ctx context.Context, s Submission, tokens int64) error {
	key := rowstore.Key{Table: tableAdmission, Part: admissionPart, Name: s.Route}
	rows, err := k.readPatiently(ctx, tableAdmission, admissionPart, s.Route, s.Route+"\x00", submitPatience)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	condition := rowstore.Condition{Key: key}
	var held []reservation
	if len(rows.Rows) > 0 {
		condition.Version = rows.Rows[0].Version
		if err := decode(rows.Rows[0], &held); err != nil {
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
	}
	held, fits := k.fit(s, held, tokens)
	if !fits {
		return fmt.Errorf("%w: %d more, %d allowed", ErrOverQuota, tokens, s.MaxTokens)
	}
	row, err := put(key, held)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	return k.writeReservation(ctx, rowstore.Tx{Conditions: []rowstore.Condition{condition}, Puts: []rowstore.Put{row}}, s.ID)
}

// fit adds a reservation to those that are held, if the tokens fit. A job that was
// accepted before fits, also if it has ended: it was sent again.
func (k *Keeper) fit(s Submission, held []reservation, tokens int64) ([]reservation, bool) {
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	// A reservation stays for its time, also after its job is seen here: another VM
	// may admit by an older scan, which doesn't show the job yet.
	held = slices.DeleteFunc(held, func(r reservation) bool {
		return r.Job == s.ID || now-r.At > reservationLife
	})
	sum := k.admitted.waiting[s.Route] + tokens
	for _, r := range held {
		if !k.admitted.known[r.Job] {
			sum += r.Tokens
		}
	}
	held = append(held, reservation{Job: s.ID, Tokens: tokens, At: now})
	return held, k.admitted.known[s.ID] || sum <= s.MaxTokens
}

// writeReservation writes the row. A conflict with its own earlier write, whose
// answer was lost, is none.
func (k *Keeper) writeReservation(ctx context.Context, tx rowstore.Tx, job string) error {
	_, err := k.settle(ctx, tx, submitPatience)
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		if errors.Is(err, ErrInDoubt) { // the job itself isn't written yet
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		return err
	}
	row, found := conflict.Current(tx.Puts[0].Key)
	var held []reservation
	if !found || row.Version == 0 || decode(row, &held) != nil {
		return err
	}
	if slices.ContainsFunc(held, func(r reservation) bool { return r.Job == job }) {
		return nil
	}
	return err
}
