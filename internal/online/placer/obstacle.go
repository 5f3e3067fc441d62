package placer

import (
	"fmt"
	"strings"
	"time"
)

// maxBatchSlowness is the slowness from which an upstream receives no batch work.
const maxBatchSlowness = 1.5

// obstacle is why an upstream is not eligible for batch work.
type obstacle uint8

const (
	obstacleNone obstacle = iota
	obstacleOutsideSubset
	obstacleDraining
	obstacleAvoided // by the work, which it has just rejected
	obstacleOtherVersion
	obstacleFailing
	obstacleSlow
	obstacleFull
	obstacleRateLimit
	obstacleFaulty // it fails a considerable share of its requests
	obstacleCount
)

func (o obstacle) String() string {
	return [obstacleCount]string{
		"none", "outsideSubset", "draining", "avoided", "otherVersion", "failing", "slow", "full", "rateLimit", "faulty",
	}[o]
}

// batchObstacle returns the first reason why an upstream is not eligible for batch work within
// a reach. The caller must hold mu.
func (p *Placer) batchObstacle(u *upstream, work BatchWork, r reach, now time.Time) obstacle {
	if r == reachSubset && u.tier != TierDomain {
		return obstacleOutsideSubset // the VM would learn too late that its batch work must yield there
	}
	hasCapacity := u.hasBatchCapacity(work.urgency(now), now) // also records when it has none
	switch {
	case !u.acceptsWork():
		return obstacleDraining
	case work.Avoid[u.ID]:
		return obstacleAvoided
	case !p.hasVersion(u, work.Versions, now):
		return obstacleOtherVersion
	case u.failures.ShouldAvoid(now):
		return obstacleFailing
	case u.currentSlowness(now) > maxBatchSlowness:
		return obstacleSlow
	case !hasCapacity:
		return obstacleFull
	case !p.withinRateLimit(u, true, now):
		return obstacleRateLimit
	case u.risk.IsFaulty(now):
		return obstacleFaulty
	default:
		return obstacleNone
	}
}

// Obstacles counts the upstreams of a service by the reason why they are not eligible for
// some batch work.
type Obstacles struct {
	counts [obstacleCount]int
}

// String returns the counts for a log line.
func (o Obstacles) String() string {
	var parts []string
	for reason, n := range o.counts {
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%s=%d", obstacle(reason), n))
		}
	}
	return strings.Join(parts, " ")
}

// passing returns whether an upstream within reach is not eligible for a reason that may pass
// soon.
func (o Obstacles) passing() bool {
	return o.counts[obstacleAvoided]+o.counts[obstacleFailing]+o.counts[obstacleSlow]+
		o.counts[obstacleFull]+o.counts[obstacleRateLimit]+o.counts[obstacleFaulty] > 0
}

// BatchObstacles returns why the upstreams of a service are not eligible for batch work.
func (p *Placer) BatchObstacles(work BatchWork, now time.Time) Obstacles {
	p.mu.Lock()
	defer p.mu.Unlock()
	reach := p.batchReach()
	if work.mayLeave(now) {
		reach = reachAll
	}
	_, obstacles := p.bestForBatch(work, reach, now)
	return obstacles
}
