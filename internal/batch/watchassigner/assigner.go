// Package watchassigner decides which VMs scan which parts of the jobs for jobs whose owners are lost, and how often. It does
// no I/O and reads no clock.
//
// Each part is scanned by a few VMs, chosen by rendezvous hashing: if all VMs scanned all parts, the load on the store
// would grow with the square of the fleet. The problem is the loss of all of them together, as the list of VMs
// shows a lost VM for half a minute and more:
//
//	part 3   watched by vm5, vm17, ... vm80 of the list, which are all lost: scanned by nobody
//
// So the choice is made among the VMs that are heard, and in each failure domain by itself: a VM hears those of its own domain,
// however large the fleet is, and replaces them a few seconds after their last report. What another domain's VMs
// do needs no answer. Two VMs that don't hear each other both scan; that costs reads and no correctness, as a
// job is taken over by a conditional write.
package watchassigner

import (
	"slices"
	"strconv"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/batch/batchkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/memberkeeper"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/weigher"
)

const (
	// minWatchers and maxWatchers bound the number of VMs that scan one part, unless more domains than that have one each.
	// Between them it is one VM in watcherDivisor.
	minWatchers    = 3
	maxWatchers    = 8
	watcherDivisor = 4
	// ScanPeriod is the usual time between the starts of two scans of a part by one VM.
	ScanPeriod = time.Second
	// maxExtraScans bounds the scans a second of all VMs together that are made because watchers on the list aren't heard. If
	// reports get lost everywhere, all VMs miss all others, and each takes on all parts.
	maxExtraScans = 400
)

// Watchers returns the names of the VMs that scan a part: the same number of each failure domain, in
// their order for the part.
func Watchers(part int, vms []memberkeeper.Member) []string {
	return watchersIn(part, domainsOf(vms), len(vms))
}

// domainsOf returns the names of VMs by failure domain.
func domainsOf(vms []memberkeeper.Member) map[string][]string {
	domains := map[string][]string{}
	for _, m := range vms {
		domains[m.Domain] = append(domains[m.Domain], m.VM)
	}
	return domains
}

// watchersIn implements Watchers for a number of VMs by domain.
func watchersIn(part int, domains map[string][]string, vms int) []string {
	perDomain := watchersPerDomain(len(domains), vms)
	var watchers []string
	for _, names := range domains {
		watchers = append(watchers, weigher.First(strconv.Itoa(part), names, perDomain)...)
	}
	return weigher.Order(strconv.Itoa(part), watchers)
}

// watchersPerDomain returns how many VMs of each failure domain scan a part.
func watchersPerDomain(domains, vms int) int {
	if domains == 0 {
		return 0
	}
	wanted := min(max(vms/watcherDivisor, minWatchers), maxWatchers)
	perDomain := max(wanted/domains, 1)
	if perDomain*domains < minWatchers {
		perDomain++
	}
	return perDomain
}

// Assignment is the parts that one VM scans.
type Assignment struct {
	periods [batchkeeper.Parts]time.Duration // 0 for a part that the VM doesn't scan
	extra   int
}

// Assign returns the parts that a VM scans.
func Assign(self string, view memberkeeper.View) Assignment {
	var a Assignment
	listed, heard := domainsOf(view.Listed()), domainsOf(view.Heard())
	extraPeriod := extraPeriod(len(listed), len(domainOf(self, heard)), view)
	for part := range batchkeeper.Parts {
		isUsual := slices.Contains(watchersIn(part, listed, len(view.Listed())), self)
		switch {
		case isUsual:
			a.periods[part] = ScanPeriod
		case len(view.Heard()) == len(view.Listed()):
		case slices.Contains(watchersIn(part, heard, len(view.Heard())), self):
			a.periods[part] = extraPeriod
			a.extra++
		}
	}
	return a
}

// domainOf returns the VMs of a VM's domain, including itself.
func domainOf(vm string, domains map[string][]string) []string {
	for _, names := range domains {
		if slices.Contains(names, vm) {
			return names
		}
	}
	return nil
}

// extraPeriod returns the time between two scans of a part that this VM scans only as others aren't heard. The VMs of its
// domain that are alive may be in several groups that don't hear each other, and each group then scans all parts:
//
//	12 of 240 are alive, 12 are heard   1 group     each part once a second
//	240 are alive, 1 is heard           240 groups  each part once in 48 s, if it is so in 5 domains
func extraPeriod(domains, heardInDomain int, view memberkeeper.View) time.Duration {
	if heardInDomain == 0 {
		return ScanPeriod
	}
	groups := float64(view.AliveInDomain()) / float64(heardInDomain)
	scansOfGroup := batchkeeper.Parts * min(watchersPerDomain(domains, len(view.Heard())), heardInDomain)
	seconds := float64(domains) * groups * float64(scansOfGroup) / maxExtraScans
	return max(ScanPeriod, time.Duration(seconds*float64(time.Second)))
}

// Period returns the time between two scans of a part, and whether the VM scans the part.
func (a Assignment) Period(part int) (time.Duration, bool) {
	return a.periods[part], a.periods[part] > 0
}

// Parts returns the number of parts that the VM scans.
func (a Assignment) Parts() int {
	parts := 0
	for _, period := range a.periods {
		if period > 0 {
			parts++
		}
	}
	return parts
}

// Extra returns how many of the parts the VM scans only as watchers of them on the list aren't heard.
func (a Assignment) Extra() int { return a.extra }
