package quotakeeper

import "time"

const (
	// closedTime is how long a team is closed at a time, if its reserve allows. It is longer while many
	// teams are closed, so that a VM of a fleet of any size is told of a bounded number a second.
	closedTime    = 500 * time.Millisecond
	maxClosedTime = 5 * time.Second
	// closureTime is the time that one VM should be closed at least for each closed team and VM.
	closureTime = 1500 * time.Microsecond
)

// seen is what a VM has reported.
type seen struct {
	series uint64
	total  Total
}

// account is the state of a team at its keeper.
type account struct {
	team        string
	id          uint64
	bucket      bucket
	vms         map[string]seen
	createdAt   time.Time
	usedAt      time.Time
	closedUntil time.Time
	// unconfirmed are the domains in which no VM has confirmed yet that the team is closed.
	unconfirmed map[string]*notice

	keeper      string   // of the team, as this VM sees it
	silent      []string // VMs before the keeper that don't answer
	keeperEpoch uint64   // of peers, when the keeper was chosen
}

// notice is a message to a VM of another domain that a team is closed.
type notice struct {
	relay  string
	sentAt time.Time
}

// newAccount returns the account of a team. It begins with less than the burst, as nothing is known of what
// has been admitted before.
func newAccount(team string, id uint64, l Limit, t Terms, share float64, now time.Time) *account {
	a := &account{team: team, id: id, createdAt: now, vms: map[string]seen{}, unconfirmed: map[string]*notice{}}
	a.bucket.filledAt = now
	a.bucket.set(l, t, share)
	a.bucket.tokens = a.bucket.start
	return a
}

// choose sets the keeper, which can change with the VMs that are live and answer.
func (a *account) choose(p *peers) {
	if a.keeperEpoch != p.epoch {
		a.keeper, a.silent = p.keeperOf(a.team)
		a.keeperEpoch = p.epoch
	}
}

// count counts a report.
func (a *account) count(from string, r Report, now time.Time) {
	a.bucket.fill(now)
	before, known := a.vms[from]
	known = known && before.series == r.Series
	if r.Known != nil {
		a.adopt(*r.Known, len(a.vms) == 0)
	}
	a.usedAt = now
	a.bucket.take(float64(uncounted(before, known, r)))
	if !known || r.Total.isNewer(before.total) {
		a.vms[from] = seen{series: r.Series, total: r.Total}
	}
}

// uncounted returns how many requests of a report have not been counted, by this keeper or another one.
func uncounted(before seen, known bool, r Report) int64 {
	switch {
	case !known:
		return r.Pending
	case !r.Total.isNewer(before.total):
		return 0
	default:
		return min(r.Total.net()-before.total.net(), r.Pending)
	}
}

// adopt takes over what another keeper has said. A new account has nothing else to go by; one
// that exists may have missed requests, so the lower number counts.
func (a *account) adopt(k Known, isNew bool) {
	if k.Account == a.id || !isFinite(k.Fullness) {
		return
	}
	tokens := float64(k.Fullness) * a.bucket.capacity
	if !isNew {
		tokens = min(tokens+a.bucket.perSecond()*max(k.Age, 0).Seconds(), a.bucket.tokens)
	}
	a.bucket.tokens = min(max(tokens, -a.bucket.maxDebt), a.bucket.capacity)
}

// isClosed returns whether the team is closed.
func (a *account) isClosed(now time.Time) bool { return now.Before(a.closedUntil) }

// isWatched returns whether it matters which domains can be reached: the tokens may be used up soon, it isn't
// known yet, or some can't.
func (a *account) isWatched(now time.Time) bool {
	return a.bucket.tokens < a.bucket.capacity/2 || now.Sub(a.createdAt) < 2*domainAnswerTime || a.bucket.share < 1
}

// isEmpty returns whether no token is left although the team is open.
func (a *account) isEmpty(now time.Time) bool { return !a.isClosed(now) && a.bucket.tokens < 1 }

// close closes the team. It reopens once the part of the reserve is back that accumulates within a time.
func (a *account) close(closedTime time.Duration, now time.Time) {
	refill := min(a.bucket.reserve/2, max(1, a.bucket.perSecond()*closedTime.Seconds()))
	a.closedUntil = now.Add(a.bucket.timeUntil(1 + refill))
}

// verdict returns the answer to a report.
func (a *account) verdict(r Report, from string, now time.Time) Verdict {
	return Verdict{
		Team: a.team, Series: r.Series, Total: a.vms[from].total, Account: a.id,
		Tokens: float32(a.bucket.tokens), Fullness: float32(a.bucket.fullness()), Wait: max(a.closedUntil.Sub(now), 0),
	}
}
