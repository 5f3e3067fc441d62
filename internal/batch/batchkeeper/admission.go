package batchkeeper

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
)

// account is what a limit of tokens applies to: the jobs of a team on a route. The team is empty for
// jobs that belong to none.
type account struct{ team, route string }

// rowName returns the name of the account's admission row. Without a team it is the route's.
func (a account) rowName() string {
	if a.team == "" {
		return a.route
	}
	return url.PathEscape(a.team) + "/" + url.PathEscape(a.route) // an escaped name has no slash
}

// account returns what the limit of a submission applies to.
func (s *Submission) account() account { return account{team: s.Caller.Team, route: s.Route} }

// admissionState is what this VM knows about the open jobs of each team and route.
type admissionState struct {
	scanStarted time.Time         // start of the last scan of all jobs
	openTokens  map[account]int64 // sum of Record.Tokens of open jobs
	knownJobs   map[string]bool   // all jobs that the scan found
	// grantedTokens is what this VM has admitted since the scan without a reservation.
	grantedTokens map[account]int64
	vmCount       int
}

const (
	// submitRetryTimeout is how long calls that the store rejects are retried before a
	// submission fails, so that the caller can try another VM in time.
	submitRetryTimeout = 700 * time.Millisecond
	// maxScanAge is the maximum age of a scan for admission by limitShare. maxRecentScanAge
	// is that for admission by capacityShare or with a reservation; the reservations account
	// for jobs that the scan missed.
	maxScanAge       = 2 * time.Second
	maxRecentScanAge = 400 * time.Millisecond
	// reservationLifetime is how long a reservation counts. It must be longer than it takes
	// to accept its job and until other VMs see it in a scan.
	reservationLifetime = 6 * time.Second
	// limitFillDivisor and limitShareDivisor bound admission by limitShare: while open
	// jobs take no more than half of the limit, all VMs together may grant a quarter of it between
	// two scans.
	limitFillDivisor  = 2
	limitShareDivisor = 4
	// capacityShareDivisor bounds admission by capacityShare as a part of the free capacity:
	// the grants of one VM since its scan, and those of others since before theirs, still
	// fit.
	capacityShareDivisor = 2
)

// reservation is the capacity that a job holds under the limit of its account until scans find
// the job's record.
type reservation struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Tokens int64
	At     time.Duration // time of the reservation on the store's clock
}

// SetVMCount sets the number of VMs that admit jobs.
func (k *Keeper) SetVMCount(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.admission.vmCount = n
}

// recordScan replaces the admission state by the records of all jobs. Grants since the
// previous scan are reset.
func (k *Keeper) recordScan(records []VersionedRecord, began time.Time) {
	waiting, known := map[account]int64{}, map[string]bool{}
	for _, r := range records {
		known[r.ID] = true
		if r.Open() {
			waiting[account{team: r.Team, route: r.Route}] += r.Tokens
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &k.admission
	a.scanStarted, a.openTokens, a.knownJobs, a.grantedTokens = began, waiting, known, map[account]int64{}
}

// scanAge returns the age of the last scan of all jobs.
func (k *Keeper) scanAge() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.admission.scanStarted)
}

// admit reserves capacity for a job's tokens under the limit of its account. It returns
// ErrOverQuota or ErrNotWritten.
func (k *Keeper) admit(ctx context.Context, s Submission, tokens int64) error {
	if s.MaxTokens == 0 || k.grant(s.account(), tokens, k.limitShare(s.account(), s.MaxTokens)) {
		return nil
	}
	if err := k.refreshScan(ctx, maxRecentScanAge); err != nil {
		return err
	}
	if k.grant(s.account(), tokens, k.capacityShare(s.account(), s.MaxTokens)) {
		return nil
	}
	return k.reserve(ctx, s, tokens)
}

// refreshScan scans all jobs, unless the last scan is younger than the given age.
func (k *Keeper) refreshScan(ctx context.Context, age time.Duration) error {
	if k.scanAge() < age {
		return nil
	}
	if _, err := k.Scan(ctx); err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	return nil
}

// limitShare returns how many tokens this VM may admit without a reservation between two
// scans. It returns 0 if the last scan is older than maxScanAge or if open jobs take more
// than half of the limit.
func (k *Keeper) limitShare(of account, limit int64) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &k.admission
	if time.Since(a.scanStarted) > maxScanAge || a.vmCount == 0 || a.openTokens[of] > limit/limitFillDivisor {
		return 0
	}
	return limit / (limitShareDivisor * int64(a.vmCount))
}

// capacityShare is like limitShare but requires a recent scan. In a large fleet it
// suffices for one job per VM as long as there is much free capacity. If all jobs needed
// a reservation instead, the account's single admission row would admit them one by one.
func (k *Keeper) capacityShare(of account, limit int64) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := &k.admission
	if a.vmCount == 0 {
		return 0
	}
	return (limit - a.openTokens[of]) / (capacityShareDivisor * int64(a.vmCount))
}

// grant admits tokens and returns true if they fit into the given share together with
// what this VM has granted since its last scan.
func (k *Keeper) grant(to account, tokens, share int64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	granted := k.admission.grantedTokens[to] + tokens
	if granted > share {
		return false
	}
	k.admission.grantedTokens[to] = granted
	return true
}

// reserve writes a reservation into the account's admission row. The write requires the row
// to be unchanged since it was read, so that no two VMs admit jobs based on the same sum.
func (k *Keeper) reserve(ctx context.Context, s Submission, tokens int64) error {
	age := maxRecentScanAge
	for attempt := 0; ; attempt++ {
		if err := k.refreshScan(ctx, age); err != nil {
			return err
		}
		err := k.tryReserve(ctx, s, tokens)
		switch {
		case errors.Is(err, ErrOverQuota) && age > 0:
			age = 0 // reject based on a new scan only
		case errors.Is(err, rowstore.ErrConflict): // another VM has written a reservation
			if !retryBackoff.Wait(ctx, attempt) {
				return fmt.Errorf("%w: %w", ErrNotWritten, err)
			}
		default:
			return err
		}
	}
}

// tryReserve makes one attempt of reserve. It returns ErrOverQuota, ErrNotWritten or
// rowstore.ErrConflict.
func (k *Keeper) tryReserve(ctx context.Context, s Submission, tokens int64) error {
	key := rowstore.Key{Table: tableAdmission, Part: admissionPart, Name: s.account().rowName()}
	rows, err := k.readRangeWithTimeout(
		ctx, tableAdmission, admissionPart, key.Name, key.Name+"\x00", submitRetryTimeout,
	)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	condition := rowstore.Condition{Key: key}
	var held []reservation
	if len(rows.Rows) > 0 {
		condition.Version = rows.Rows[0].Version
		if err := decodeRow(rows.Rows[0], &held); err != nil {
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
	}
	held, fits := k.addReservation(s, held, tokens)
	if !fits {
		return fmt.Errorf("%w: %d tokens requested, limit %d", ErrOverQuota, tokens, s.MaxTokens)
	}
	row, err := encodeRow(key, held)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotWritten, err)
	}
	return k.writeReservation(ctx, rowstore.Tx{
		Conditions: []rowstore.Condition{condition}, Puts: []rowstore.Put{row},
	}, s.ID)
}

// addReservation adds a reservation to the held ones and returns whether the tokens fit.
// A job that a scan has found always fits, even if it has ended: it was submitted again.
func (k *Keeper) addReservation(s Submission, held []reservation, tokens int64) ([]reservation, bool) {
	now := k.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	// A reservation is kept until it expires, even after this VM has seen its job:
	// another VM may admit by an older scan that doesn't contain the job yet.
	held = slices.DeleteFunc(held, func(r reservation) bool {
		return r.Job == s.ID || now-r.At > reservationLifetime
	})
	sum := k.admission.openTokens[s.account()] + tokens
	for _, r := range held {
		if !k.admission.knownJobs[r.Job] {
			sum += r.Tokens
		}
	}
	held = append(held, reservation{Job: s.ID, Tokens: tokens, At: now})
	return held, k.admission.knownJobs[s.ID] || sum <= s.MaxTokens
}

// writeReservation writes the admission row. It ignores a conflict with its own earlier
// write whose response was lost.
func (k *Keeper) writeReservation(ctx context.Context, tx rowstore.Tx, job string) error {
	_, err := k.transactWithRetry(ctx, tx, submitRetryTimeout)
	var conflict *rowstore.ConflictError
	if !errors.As(err, &conflict) {
		if errors.Is(err, ErrInDoubt) { // the job itself isn't written yet
			return fmt.Errorf("%w: %w", ErrNotWritten, err)
		}
		return err
	}
	row, found := conflict.Current(tx.Puts[0].Key)
	var held []reservation
	if !found || row.Version == 0 || decodeRow(row, &held) != nil {
		return err
	}
	if slices.ContainsFunc(held, func(r reservation) bool { return r.Job == job }) {
		return nil
	}
	return err
}
