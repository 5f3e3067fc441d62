package peerteller

import (
	"net/netip"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/online/crashanalyzer"
	"github.com/fescuespindle/fescuespindle/internal/online/healthtracker"
	"github.com/fescuespindle/fescuespindle/internal/online/placer"
	"github.com/fescuespindle/fescuespindle/internal/online/ratelimiter"
)

// maxMessageBytes is the size of the receive buffer. A longer datagram is truncated and so
// fails to decode.
const maxMessageBytes = 16 << 10

// message is the wire format of a report.
type message struct {
	VM string `cbor:"vm"`
	// Fleet is the identity of the sender's fleet; 0 while the sender doesn't know it.
	Fleet    uint64        `cbor:"fleet,omitempty"`
	Boot     uint64        `cbor:"boot"`
	Sequence uint64        `cbor:"sequence"`
	Counts   placer.Report `cbor:"counts"`
	// Cancelled are the IDs of recently cancelled jobs.
	Cancelled []string `cbor:"cancelled,omitempty"`
	// Summary is all work on the upstreams of the sender's domain, as the sender knows it.
	Summary placer.Summary `cbor:"summary,omitempty"`
	// Failing are the upstreams that fail for the sender, by ID.
	Failing map[string]healthtracker.Failure `cbor:"failing,omitempty"`
	// Leaving are the upstreams that have announced that they are draining, with the start
	// time of their processes.
	Leaving map[string]int64 `cbor:"leaving,omitempty"`
	// Sent is how many requests the sender's process has sent to upstreams with a rate limit.
	Sent map[string]uint64 `cbor:"sent,omitempty"`
	// Configuration is the version of the newest row of the configuration that the sender knows.
	Configuration uint64 `cbor:"config,omitempty"`
	// Crashes and Limits are only in some messages, see bulletinKind.
	Crashes *crashanalyzer.Report `cbor:"crashes,omitempty"`
	Limits  ratelimiter.Report    `cbor:"limits,omitempty"`
}

// extras are the parts of a message that only some messages have.
type extras struct {
	summary placer.Summary
	crashes *crashanalyzer.Report
	limits  ratelimiter.Report
}

// Notices are what a VM reports besides the counts of its work.
type Notices struct {
	Cancelled []string
	Summary   placer.Summary // only in messages to other domains of a large fleet
	Failing   map[string]healthtracker.Failure
	Leaving   map[string]int64
	Sent      map[string]uint64
	// Configuration is the version of the newest row of the configuration that the VM knows.
	Configuration uint64
}

// Peer is another VM to which reports are sent.
type Peer struct {
	VM      string
	Address netip.AddrPort
	Domain  string
	// Remote is set if the VM is in another region.
	Remote bool
}

// State provides what this VM reports, and handles the reports of others.
type State interface {
	// Report returns the report to send now.
	Report(now time.Time) (placer.Report, Notices)
	// Summary returns all work on the upstreams of this VM's domain, as this VM knows it.
	Summary() placer.Summary
	// HasCrashNews returns whether the report on crashes has something that other VMs must
	// learn soon, and whether it has anything.
	HasCrashNews(now time.Time) (news, toReport bool)
	// CrashReport returns what this VM knows of crashes of upstreams.
	CrashReport(now time.Time) crashanalyzer.Report
	// ReceiveCrashes handles the report on crashes of another VM. If relay is set, this VM
	// must report what is new in it to others.
	ReceiveCrashes(report crashanalyzer.Report, relay bool, now time.Time)
	// HasLimitNews returns whether there are rate limits that other VMs must learn soon, and
	// whether there are any to report.
	HasLimitNews(now time.Time) (news, toReport bool)
	// LimitReport returns what this VM tells others of rate limits.
	LimitReport(now time.Time) ratelimiter.Report
	// ReceiveLimits handles the rate limits that another VM reports. If relay is set, this VM
	// must report what is new in them to others.
	ReceiveLimits(report ratelimiter.Report, relay bool, now time.Time)
	// Subscribers returns the VMs that must be informed at once of changes on an upstream;
	// all is true if these are all VMs of the upstream's domain.
	Subscribers(upstream string) (vms []string, all bool)
	// Receive handles a report of another VM.
	Receive(vm string, report placer.Report, notices Notices, now time.Time)
	// Expire discards the reports of VMs that have sent none for too long.
	Expire(now time.Time)
}
