// Package daysimulator is a discrete-event simulation of days of load on a fleet
// of VMs and engines. It models arrivals, engines that admit requests in the
// order of arrival, and reports between VMs with their network delay. The VMs run
// the production placement code; simpler policies and an omniscient scheduler
// serve as baselines.
//
// Days are deterministic: equal parameters, with an equal seed, give equal results.
package daysimulator

import (
	"math"
	"time"
)

// Domain is the VMs and engines of one failure domain.
type Domain struct {
	Name    string
	Region  string
	VMs     int
	Engines int
}

// Rate returns the arrival rate per second at a time of the day.
type Rate func(at time.Duration) float64

// Day holds the parameters of one simulated day.
type Day struct {
	Seed    uint64
	Length  time.Duration
	Domains []Domain
	Engine  EngineSpec
	// Streams is the arrival rate of online requests, and Jobs that of batch jobs
	// with JobItems items each.
	Streams Rate
	Jobs    Rate
	// StreamSteps and ItemSteps are the mean numbers of steps of a stream and of
	// an item.
	StreamSteps float64
	ItemSteps   float64
	// LatencyTarget is the target for the time to a stream's first event, and
	// JobTimeout the time within which a job must complete.
	LatencyTarget time.Duration
	JobTimeout    time.Duration
	// Timeout is how long a stream's caller waits for the first event; 0 for as long as it takes.
	Timeout time.Duration
	// LostVM is the index, over all domains, of a VM that fails at LostAt, or noVM.
	LostVM int
	LostAt time.Duration
	// RateLimits are named by some engines in their answers.
	RateLimits RateLimits
	// Teams are the teams that share the streams, and whether these differ in urgency.
	Teams Teams
}

// JobItems is the number of items of a job.
const JobItems = 10

// EngineSpec holds the properties that all engines share.
type EngineSpec struct {
	Sequences int
	// Queue is the number of requests that may wait; more are rejected.
	Queue int
	// Step is the duration of a step with one request running, and PerRequest what
	// each further request adds to it.
	Step       time.Duration
	PerRequest time.Duration
	// Prefill is the time that a request takes before its first step, and
	// FirstSteps the number of steps until its first event.
	Prefill    time.Duration
	FirstSteps float64
	// Each engine is slow with probability SlowShare, drawn anew every SlowPeriod.
	// The steps of a slow engine take SlowFactor times as long.
	SlowShare  float64
	SlowFactor float64
	SlowPeriod time.Duration
	// Paces are the factors by which the steps of engines always take longer, by turns; none
	// if all engines are equally fast.
	Paces []float64
	// Faulty is a period in which some engines fail part of their requests.
	Faulty FaultyPeriod
}

// FaultyPeriod is a period in which every n-th engine, as Every tells, fails a share of its
// requests at once and runs the others well.
type FaultyPeriod struct {
	From, Length time.Duration
	Every        int // 0 for no engine
	Share        float64
}

// includes returns whether the n-th engine is faulty at a time.
func (p FaultyPeriod) includes(n int, now time.Duration) bool {
	return p.Every > 0 && n%p.Every == 0 && now >= p.From && now < p.From+p.Length
}

// pace returns the factor by which the steps of the n-th engine take longer.
func (s EngineSpec) pace(n int) float64 {
	if len(s.Paces) == 0 {
		return 1
	}
	return s.Paces[n%len(s.Paces)]
}

// Constant returns a constant rate.
func Constant(perSecond float64) Rate {
	return func(time.Duration) float64 { return perSecond }
}

// SquareWave returns a rate that alternates between about a third of its mean
// and almost twice its mean every few seconds.
func SquareWave(mean float64) Rate {
	const (
		low, high   = 0.383, 1.87
		lowLength   = 3400 * time.Millisecond
		cycleLength = 5800 * time.Millisecond
	)
	return func(at time.Duration) float64 {
		if at%cycleLength < lowLength {
			return low * mean
		}
		return high * mean
	}
}

// Burst returns a rate that is multiplied by a factor for a period.
func Burst(rate Rate, factor float64, from, length time.Duration) Rate {
	return func(at time.Duration) float64 {
		if at >= from && at < from+length {
			return factor * rate(at)
		}
		return rate(at)
	}
}

// SmallSite is a day at a site like the Authority's smaller one: 12 VMs and 18
// engines in three failure domains of two regions.
func SmallSite(seed uint64) Day {
	return Day{
		Seed: seed, Length: 60 * time.Second, LostVM: noVM,
		Domains: []Domain{
			{Name: "kariakoo", Region: "pwani", VMs: 4, Engines: 6},
			{Name: "mbezi", Region: "pwani", VMs: 4, Engines: 6},
			{Name: "makulu", Region: "dodoma", VMs: 4, Engines: 6},
		},
		Engine: EngineSpec{
			Sequences: 8, Queue: 24, Step: 3550 * time.Microsecond, PerRequest: 46 * time.Microsecond,
			Prefill: 3 * time.Millisecond, FirstSteps: 7,
			SlowShare: 0.15, SlowFactor: 2.5, SlowPeriod: 600 * time.Millisecond,
		},
		Streams: SquareWave(82), StreamSteps: 190,
		Jobs: Constant(1.03), ItemSteps: 1280,
		LatencyTarget: 300 * time.Millisecond, JobTimeout: 18 * time.Second,
	}
}

// MediumSite is a day at a site like the Authority's larger one, of about 86 VMs
// and 89 engines: 14 VMs and 15 engines in each of six failure domains.
func MediumSite(seed uint64) Day {
	day := SmallSite(seed)
	day.Domains = nil
	for i, name := range []string{"kariakoo", "mbezi", "kigamboni", "makulu", "chamwino", "nzuguni"} {
		d := Domain{Name: name, Region: "pwani", VMs: 14, Engines: 15}
		if i >= 3 {
			d.Region = "dodoma"
		}
		day.Domains = append(day.Domains, d)
	}
	day.Engine.Sequences = 7
	day.Streams, day.StreamSteps = SquareWave(468), 187
	day.Jobs, day.ItemSteps = Constant(5.85), 1276
	return day
}

// LargeSite is a day at a site of 295 VMs and 162 engines in six failure domains,
// whose load exceeds the capacity of all slots at each step up.
func LargeSite(seed uint64) Day {
	day := MediumSite(seed)
	for i := range day.Domains {
		day.Domains[i].VMs, day.Domains[i].Engines = 49, 27
	}
	day.Domains[0].VMs++
	day.Streams, day.StreamSteps = SquareWave(843), 175
	day.Jobs, day.ItemSteps = Constant(10.5), 1240
	return day
}

// UnevenSite is a day at a site of 42 VMs and 90 engines in six failure domains. A third of
// the engines take 1.3 times as long as the others, and streams and items together fill the slots at
// each step up.
func UnevenSite(seed uint64) Day {
	day := MediumSite(seed)
	for i := range day.Domains {
		day.Domains[i].VMs = 7
	}
	day.Engine = EngineSpec{
		Sequences: 8, Queue: 24, Step: 2770 * time.Microsecond, PerRequest: 15 * time.Microsecond,
		Prefill: 4 * time.Millisecond, FirstSteps: 13,
		SlowShare: 0.15, SlowFactor: 2.5, SlowPeriod: 600 * time.Millisecond, Paces: []float64{1, 1, 1.3},
	}
	day.Streams, day.StreamSteps = SquareWave(412), 246
	day.Jobs, day.ItemSteps = Constant(5.14), 1690
	return day
}

// noVM is the value of Day.LostVM if no VM fails.
const noVM = -1

// networkDelay returns the one-way delay between two failure domains.
func networkDelay(from, to Domain) time.Duration {
	switch {
	case from.Name == to.Name:
		return 200 * time.Microsecond
	case from.Region == to.Region:
		return 900 * time.Microsecond
	default:
		return 8 * time.Millisecond
	}
}

// drawSteps maps a uniform draw in [0, 1) to a request's number of steps: a
// shifted exponential distribution, mostly near the mean with a long tail.
func drawSteps(mean, draw float64) float64 {
	const minimum, scale = 0.4, 0.6 // of the mean
	return mean * (minimum - scale*math.Log(1-draw))
}
