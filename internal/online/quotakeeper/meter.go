package quotakeeper

import (
	"math"
	"time"
)

const (
	// minPending is how many requests of a team a VM may have admitted that no keeper has counted yet.
	// It is more if the VM gets many of the team's requests, or its part of what is left is more.
	minPending = 4
	// pendingTime is the time of requests at the recent rate that may be uncounted: a little more
	// than the time after which a silent keeper is replaced.
	pendingTime = 150 * time.Millisecond
	// rateMemory is the time constant of the recent rate.
	rateMemory = time.Second
	// maxKnownAge is how old the last keeper's tokens may be to be told to another one.
	maxKnownAge = time.Second
)

// Outcome is what was decided on a request.
type Outcome int

// The outcomes.
const (
	// Admitted means that the request may be sent.
	Admitted Outcome = iota
	// OverQuota means that the team has used its quota.
	OverQuota
	// Uncounted means that the VM reaches no keeper, and has used what it may meanwhile.
	Uncounted
)

// Decision is the decision on a request, with what it is based on.
type Decision struct {
	Outcome Outcome
	// Counted is whether the request was counted, as the team has a quota, and is to be given back if it
	// doesn't run.
	Counted bool
	// Wait is how long after a rejection a request may be admitted.
	Wait time.Duration
	// Tokens is what the team's keeper has last said to be left, and Age how long ago; a negative age
	// means that it has said nothing yet. Pending is how many requests of this VM no keeper has counted.
	Tokens  float64
	Age     time.Duration
	Pending int64
}

// meter counts what this VM admits of a team.
type meter struct {
	team    string
	series  uint64
	total   Total
	counted Total // by any keeper
	usedAt  time.Time
	recent  float64 // requests within rateMemory, as a moving average

	closedUntil time.Time
	tokens      float64
	fullness    float32
	toldAt      time.Time // when a keeper named the tokens; zero if none has
	account     uint64    // of the keeper that named them

	keeper      string
	silent      []string // VMs before the keeper that don't answer
	keeperEpoch uint64   // of peers, when the keeper was chosen
	sentTotal   Total    // in the last report to the keeper
	sentAt      time.Time
	reported    bool // whether the keeper was sent a report that it has not answered
}

// pending returns how many requests no keeper has counted.
func (m *meter) pending() int64 { return m.total.net() - m.counted.net() }

// isSettled returns whether a keeper has counted all.
func (m *meter) isSettled() bool { return !m.total.isNewer(m.counted) }

// decide decides on a request. The VM is one of a number of VMs.
func (m *meter) decide(vms int, now time.Time) Decision {
	d := Decision{Tokens: m.tokens, Age: -1, Pending: m.pending()}
	if !m.toldAt.IsZero() {
		d.Age = now.Sub(m.toldAt)
	}
	m.recent *= math.Exp(-now.Sub(m.usedAt).Seconds() / rateMemory.Seconds())
	m.usedAt = now
	switch {
	case now.Before(m.closedUntil):
		d.Outcome, d.Wait = OverQuota, m.closedUntil.Sub(now)
	case m.pending() >= m.maxPending(vms):
		d.Outcome, d.Wait = Uncounted, answerTime
	default:
		d.Counted = true
		m.total.Admitted++
		m.recent++
	}
	return d
}

// maxPending returns how many requests may be uncounted.
func (m *meter) maxPending(vms int) int64 {
	atRecentRate := m.recent * pendingTime.Seconds() / rateMemory.Seconds()
	return int64(minPending + max(atRecentRate, m.tokens/float64(max(vms, 1)), 0))
}

// close closes the team at this VM.
func (m *meter) close(wait time.Duration, now time.Time) {
	if until := now.Add(min(wait, maxWait)); until.After(m.closedUntil) {
		m.closedUntil = until
	}
}

// apply records a keeper's answer.
func (m *meter) apply(v Verdict, from string, now time.Time) {
	if v.Series != m.series {
		return
	}
	isKnown := v.Account != 0 && isFinite(v.Tokens) && isFinite(v.Fullness)
	if isKnown && !m.counted.isNewer(v.Total) { // else another keeper knows more
		m.tokens, m.fullness, m.toldAt, m.account = float64(v.Tokens), v.Fullness, now, v.Account
	}
	m.counted.Admitted = min(max(m.counted.Admitted, v.Total.Admitted), m.total.Admitted)
	m.counted.Returned = min(max(m.counted.Returned, v.Total.Returned), m.total.Returned)
	if from == m.keeper {
		m.reported = false
	}
	if v.Wait > 0 {
		m.close(v.Wait, now)
	}
}

// choose sets the keeper, which can change with the VMs that are live and answer.
func (m *meter) choose(p *peers) {
	if m.keeperEpoch == p.epoch {
		return
	}
	keeper, silent := p.keeperOf(m.team)
	if keeper != m.keeper {
		m.sentTotal, m.sentAt, m.reported = Total{}, time.Time{}, false
	}
	m.keeper, m.silent, m.keeperEpoch = keeper, silent, p.epoch
}

// isDue returns whether a report must be sent now.
func (m *meter) isDue(now time.Time) bool {
	if m.isSettled() {
		return false
	}
	return !m.reported || m.total.isNewer(m.sentTotal) || now.Sub(m.sentAt) >= resendTime
}

// report returns the report to the keeper, and records that it is sent.
func (m *meter) report(now time.Time) Report {
	m.sentTotal, m.sentAt, m.reported = m.total, now, true
	r := Report{Team: m.team, Series: m.series, Total: m.total, Pending: m.pending()}
	if age := now.Sub(m.toldAt); !m.toldAt.IsZero() && age < maxKnownAge {
		r.Known = &Known{Account: m.account, Fullness: m.fullness, Age: age}
	}
	return r
}
