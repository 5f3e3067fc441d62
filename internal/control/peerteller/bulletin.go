package peerteller

import "time"

const (
	// newsPeriod is the time between two bulletins of a kind with news, and bulletinPeriod
	// between two without. The latter are for VMs that have started.
	newsPeriod     = 250 * time.Millisecond
	bulletinPeriod = 2 * time.Second
	// maxBulletinPeers is the number of peers up to which all get a bulletin. Of more, those
	// of this VM's domain get it, and one of each other domain, which relays news: when many
	// upstreams crash or name a rate limit at once, every VM has news.
	maxBulletinPeers = 24
)

// RelaysNews returns whether only some of a number of peers get a bulletin, so that those of
// other domains must relay news.
func RelaysNews(peers int) bool { return peers > maxBulletinPeers }

// bulletinKind is a kind of message that is sent apart from the reports of work, as it is long
// and seldom changes.
type bulletinKind uint8

const (
	bulletinCrashes bulletinKind = iota // crashes of upstreams
	bulletinLimits                      // rate limits of upstreams
	bulletinKinds
)

// bulletin is when bulletins of one kind were sent.
type bulletin struct {
	last     time.Time
	next     time.Time // when the next one may be due; zero for none
	rotation uint64    // advances by one at each bulletin, to choose recipients
}

// TakeCrashesDue returns the peers to which a report on crashes is due, given whether it has
// news and whether it has anything, and records it as sent.
func (s *Schedule) TakeCrashesDue(peers []Peer, news, toReport bool, now time.Time) []Peer {
	return s.takeBulletin(bulletinCrashes, peers, news, toReport, now)
}

// TakeLimitsDue is TakeCrashesDue for rate limits.
func (s *Schedule) TakeLimitsDue(peers []Peer, news, toReport bool, now time.Time) []Peer {
	return s.takeBulletin(bulletinLimits, peers, news, toReport, now)
}

func (s *Schedule) takeBulletin(kind bulletinKind, peers []Peer, news, toReport bool, now time.Time) []Peer {
	b := &s.bulletins[kind]
	b.next = time.Time{}
	period := bulletinPeriod
	switch {
	case news:
		period = newsPeriod
	case !toReport:
		return nil
	}
	if due := b.last.Add(period); now.Before(due) {
		b.next = due
		return nil
	}
	b.last, b.next = now, now.Add(period)
	if !RelaysNews(len(peers)) && news {
		return peers
	}
	b.rotation++
	selected := onePerDomain(peers, s.domain, b.rotation)
	for _, p := range peers {
		if p.Domain == s.domain {
			selected = append(selected, p)
		}
	}
	return selected
}
