package quotakeeper

import (
	"maps"
	"time"
)

const (
	// idleTime is how long after its last use the state of a team is kept.
	idleTime = 10 * time.Minute
	// pruneInterval is the time between two searches for such state.
	pruneInterval = time.Minute
	// watchInterval is the time between two checks of the domains while it matters to a team which of them can
	// be reached.
	watchInterval = domainAskInterval
	// accountInterval is the time between two steps of a keeper, so that it notices that it stood still.
	accountInterval = time.Second
	// maxHeldTime is how long messages may be held up by a VM that stands still, and ignoreTime how long it ignores
	// what arrives after a longer time.
	maxHeldTime = 300 * time.Millisecond
	ignoreTime  = 20 * time.Millisecond
	// maxStepDelay is how late a step may be until this VM counts as having stood still.
	maxStepDelay = 50 * time.Millisecond
	// queried is how many VMs are asked for what they know of a team.
	queried = 2
	// activeTime is how long after the last report a keeper checks the domains, and knows something of a team
	// that another VM may need.
	activeTime = 5 * time.Second
)

// Keeper is one VM's part in keeping quotas: it admits requests, and is the keeper of some teams. It is not
// safe for concurrent use.
type Keeper struct {
	terms       Terms
	limits      map[string]Limit // by team, of those that have one
	peers       *peers
	meters      map[string]*meter   // by team
	accounts    map[string]*account // by team, of those of which this VM is the keeper
	unsettled   map[string]*meter   // by team, of which not all requests are counted
	watched     map[string]*account // by team, for which it matters which domains can be reached
	outbox      map[string]*Message // by VM, to be sent by the next step
	nextSeries  uint64
	prunedAt    time.Time
	stepDueAt   time.Time // when Step must be called next; later if this VM stood still
	ignoreUntil time.Time // until when messages are ignored, as they may have waited
}

// New returns the Keeper of a VM. The boot ID is new at each start of the process.
func New(self Member, boot uint64, terms Terms) *Keeper {
	return &Keeper{
		terms: terms, limits: map[string]Limit{}, peers: newPeers(self), meters: map[string]*meter{},
		accounts: map[string]*account{}, unsettled: map[string]*meter{}, watched: map[string]*account{},
		outbox: map[string]*Message{}, nextSeries: boot,
	}
}

// SetMembers replaces the list of the live VMs. Until it is called, no VM counts what this one admits.
func (k *Keeper) SetMembers(members []Member) { k.peers.set(members) }

// SetLimits replaces the quotas of the teams.
func (k *Keeper) SetLimits(limits map[string]Limit, now time.Time) {
	before := k.limits
	k.limits = make(map[string]Limit, len(limits))
	for team, l := range limits {
		if l.isSet() {
			k.limits[team] = l.bounded()
		}
	}
	for team, m := range k.meters {
		if k.limits[team] != before[team] {
			m.closedUntil = time.Time{}
		}
	}
	for team, a := range k.accounts {
		k.setLimit(a, k.limits[team], now)
	}
}

// setLimit changes the limit of an account. A team that has none any more has no account.
func (k *Keeper) setLimit(a *account, l Limit, now time.Time) {
	switch {
	case !l.isSet():
		delete(k.accounts, a.team)
		delete(k.watched, a.team)
	case l != a.bucket.limit:
		a.bucket.fill(now)
		a.bucket.set(l, k.terms, k.peers.share())
		a.closedUntil = time.Time{}
	}
}

// Admit decides on a request of a team. It is admitted if the team has no quota.
func (k *Keeper) Admit(team string, now time.Time) Decision {
	if _, limited := k.limits[team]; !limited {
		return Decision{Age: -1}
	}
	m := k.meter(team, now)
	d := m.decide(len(k.peers.names), now)
	if d.Outcome == Admitted {
		k.unsettled[team] = m
	}
	return d
}

// maxReturnDelay is how long after it was admitted a request can be given back. While requests wait for an upstream in
// vain, later returns would let a team in that asks for more and more, until there is room for all of them at once.
const maxReturnDelay = 50 * time.Millisecond

// Return gives back a request that no upstream has run, some time after it was admitted. After maxReturnDelay it
// counts as one that ran.
func (k *Keeper) Return(team string, after time.Duration) {
	if m := k.meters[team]; m != nil && m.total.net() > 0 && after <= maxReturnDelay {
		m.total.Returned++
		k.unsettled[team] = m
	}
}

// meter returns the meter of a team, which is created if needed.
func (k *Keeper) meter(team string, now time.Time) *meter {
	m := k.meters[team]
	if m == nil {
		m = &meter{team: team, series: k.nextSeries, usedAt: now}
		k.nextSeries++
		k.meters[team] = m
	}
	return m
}

// Receive handles a message of another VM.
func (k *Keeper) Receive(from string, message Message, now time.Time) {
	if k.noticePause(now); now.Before(k.ignoreUntil) {
		return
	}
	k.peers.hear(from, now)
	if message.Asks {
		k.post(from)
	}
	for _, r := range message.Reports {
		k.receiveReport(from, r, now)
	}
	for _, v := range message.Verdicts {
		if m := k.meters[v.Team]; m != nil {
			m.apply(v, from, now)
		}
	}
	for _, team := range message.Queries {
		k.answerQuery(from, team, now)
	}
	for _, s := range message.States {
		if a := k.accounts[s.Team]; a != nil {
			a.bucket.fill(now)
			a.adopt(s.Known, false)
		}
	}
	for _, c := range message.Closures {
		k.receiveClosure(from, c, now)
	}
}

// receiveReport counts a report, and answers it. The team may have another keeper, which the sender takes
// for silent; it is told too, and answers the sender.
func (k *Keeper) receiveReport(from string, r Report, now time.Time) {
	isForwarded := r.Sender != ""
	if isForwarded {
		from = r.Sender
	}
	answer := k.post(from)
	limit, limited := k.limits[r.Team]
	if !limited { // this VM has another configuration
		answer.Verdicts = append(answer.Verdicts, Verdict{Team: r.Team, Series: r.Series, Total: r.Total})
		return
	}
	answer.Verdicts = append(answer.Verdicts, k.count(from, r, limit, now))
	if isForwarded {
		return
	}
	if a := k.accounts[r.Team]; a.keeper != "" && a.keeper != k.peers.self.VM && a.keeper != from {
		message := k.ask(a.keeper, now)
		r.Sender = from
		message.Reports = append(message.Reports, r)
	}
}

// count counts a report, and closes the team if its quota is used.
func (k *Keeper) count(from string, r Report, limit Limit, now time.Time) Verdict {
	a := k.accounts[r.Team]
	if a == nil {
		a = k.newAccount(r.Team, limit, now)
	}
	k.updateAccount(a, now)
	a.count(from, r, now)
	if a.isWatched(now) {
		k.watched[a.team] = a
	}
	if a.isEmpty(now) {
		a.close(k.closedTime(now), now)
		k.announce(a, now)
	}
	return a.verdict(r, from, now)
}

// newAccount creates the account of a team of which this VM becomes the keeper.
func (k *Keeper) newAccount(team string, limit Limit, now time.Time) *account {
	a := newAccount(team, k.nextSeries, limit, k.terms, k.peers.share(), now)
	k.nextSeries++
	k.accounts[team] = a
	k.query(team)
	return a
}

// query asks the VMs that were the keeper of a team if this one was not there before.
func (k *Keeper) query(team string) {
	for _, vm := range k.peers.othersOf(team, queried) {
		message := k.post(vm)
		message.Queries = append(message.Queries, team)
	}
}

// answerQuery tells a VM what this one knows of a team as its keeper, if that is recent.
func (k *Keeper) answerQuery(from, team string, now time.Time) {
	a := k.accounts[team]
	if a == nil || now.Sub(a.usedAt) > activeTime {
		return
	}
	a.bucket.fill(now)
	message := k.post(from)
	message.States = append(message.States, State{Team: team, Known: Known{Account: a.id, Fullness: float32(a.bucket.fullness())}})
}

// post returns the message to a VM that Step returns next.
func (k *Keeper) post(to string) *Message {
	m := k.outbox[to]
	if m == nil {
		m = &Message{}
		k.outbox[to] = m
	}
	return m
}

// ask returns the message to a VM that Step returns next, and which the VM must answer.
func (k *Keeper) ask(to string, now time.Time) *Message {
	m := k.post(to)
	m.Asks = true
	k.peers.ask(to, now)
	return m
}

// Step returns the messages to send now, and the time until Step must be called again at the latest.
func (k *Keeper) Step(now time.Time) ([]Envelope, time.Duration) {
	k.noticePause(now)
	k.prune(now)
	k.peers.updateDomains(now)
	for team, m := range k.unsettled {
		if k.settle(m, now); m.isSettled() {
			delete(k.unsettled, team)
		}
	}
	k.checkWatched(now)
	envelopes := make([]Envelope, 0, len(k.outbox))
	for to, m := range k.outbox {
		envelopes = append(envelopes, Envelope{To: to, Message: *m})
	}
	clear(k.outbox)
	pause := k.pause()
	k.stepDueAt = now.Add(pause)
	return envelopes, pause
}

// pause returns the time until the next step.
func (k *Keeper) pause() time.Duration {
	switch {
	case len(k.unsettled) > 0 && k.peers.known:
		return resendTime / 2
	case len(k.watched) > 0:
		return watchInterval
	case len(k.accounts) > 0:
		return accountInterval
	default:
		return pruneInterval
	}
}

// settle reports what a meter has counted to the team's keeper, if a report is due.
func (k *Keeper) settle(m *meter, now time.Time) {
	m.choose(k.peers)
	if m.reported {
		k.peers.update(m.keeper, now)
		m.choose(k.peers)
	}
	if m.keeper == "" || !m.isDue(now) {
		return
	}
	if k.peers.isLate(m.keeper, resendTime, now) {
		k.askDomains(minFreshTime, now)
	}
	for _, vm := range m.silent {
		k.askSilent(vm, now)
	}
	if m.keeper != k.peers.self.VM {
		k.report(m, now)
		return
	}
	limit, limited := k.limits[m.team]
	if !limited {
		m.counted = m.total
		return
	}
	m.apply(k.count(m.keeper, m.report(now), limit, now), m.keeper, now)
}

// report sends a report to the keeper of a team and, if the keeper is late, to the backups.
func (k *Keeper) report(m *meter, now time.Time) {
	report := m.report(now)
	message := k.ask(m.keeper, now)
	message.Reports = append(message.Reports, report)
	if !k.peers.isLate(m.keeper, resendTime, now) {
		return
	}
	for _, vm := range k.peers.backupsOf(m.team, m.keeper) {
		message = k.ask(vm, now)
		message.Reports = append(message.Reports, report)
	}
}

// updateAccount updates what depends on the VMs that can be reached, and adds the tokens since the
// last time.
func (k *Keeper) updateAccount(a *account, now time.Time) {
	if a.keeper != "" {
		k.peers.update(a.keeper, now)
	}
	a.bucket.fill(now)
	a.choose(k.peers)
	if share := k.peers.share(); share != a.bucket.share {
		a.bucket.set(a.bucket.limit, k.terms, share)
	}
}

// prune discards the state of teams that have not been used for long, but for that of their keeper, without which they
// would have less than their burst.
func (k *Keeper) prune(now time.Time) {
	if now.Sub(k.prunedAt) < pruneInterval {
		return
	}
	k.prunedAt = now
	maps.DeleteFunc(k.meters, func(_ string, m *meter) bool { return m.isSettled() && now.Sub(m.usedAt) > idleTime })
	maps.DeleteFunc(k.accounts, func(_ string, a *account) bool {
		a.choose(k.peers)
		return a.keeper != k.peers.self.VM && now.Sub(a.usedAt) > idleTime
	})
	for _, a := range k.accounts {
		maps.DeleteFunc(a.vms, func(vm string, _ seen) bool { return vm != k.peers.self.VM && k.peers.vms[vm] == nil })
	}
}
