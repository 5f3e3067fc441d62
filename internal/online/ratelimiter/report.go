package ratelimiter

import "time"

// Named is what an upstream has said of its limit, as VMs tell each other.
type Named struct {
	_            struct{} `cbor:",toarray"` // field names would make up most of a message
	PerSecond    float64  // 0 means that the limit has ended
	Age          time.Duration
	ProcessStart int64
}

// Report is what a VM tells others of limits, by upstream.
type Report map[string]Named

// HasNews returns whether there is something that other VMs must learn soon, and whether
// there is anything to report. holds returns whether this VM shares the limit of an upstream.
func (l *Limiter) HasNews(holds func(upstream string) bool, now time.Time) (news, toReport bool) {
	for id, b := range l.buckets {
		news = news || b.isNews(now)
		toReport = toReport || (b.limit.PerSecond > 0 && holds(id))
	}
	return news, news || toReport
}

// Report returns the limits that have changed, and those that this VM shares.
func (l *Limiter) Report(holds func(upstream string) bool, now time.Time) Report {
	report := Report{}
	for id, b := range l.buckets {
		if !b.isNews(now) && (b.limit.PerSecond == 0 || !holds(id)) {
			continue
		}
		if len(report) == maxReported {
			break // others come first in the next reports, as the order is random
		}
		report[id] = Named{PerSecond: b.limit.PerSecond, Age: now.Sub(b.toldAt), ProcessStart: b.processStart}
	}
	return report
}

func (b *bucket) isNews(now time.Time) bool { return now.Before(b.newsUntil) }

// Receive records what another VM reports of the limit of a process of an upstream. What an
// upstream has said later counts. If relay is set, this VM must tell others what is new in it.
func (l *Limiter) Receive(p Process, named Named, relay bool, now time.Time) {
	if named.ProcessStart != p.Start {
		return
	}
	b := l.current(p)
	if b == nil {
		if named.PerSecond <= 0 {
			return
		}
		b = l.add(p)
	}
	toldAt := now.Add(-max(named.Age, 0))
	if !toldAt.After(b.toldAt) {
		b.refreshedAt = now
		return
	}
	if _, changed := b.set(max(named.PerSecond, 0), toldAt, now); changed && relay {
		b.newsUntil = now.Add(newsTime)
	}
}

// Expire discards limits of which this VM has not heard for long, and which it doesn't share,
// and those that have ended some time ago.
func (l *Limiter) Expire(holds func(upstream string) bool, now time.Time) {
	for id, b := range l.buckets {
		unheard := now.Sub(b.refreshedAt) > hearsayTTL
		if unheard && (b.limit.PerSecond == 0 || !holds(id)) {
			delete(l.buckets, id)
		}
	}
}
