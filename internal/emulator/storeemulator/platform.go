package storeemulator

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/emulator/platformemulator"
	"github.com/fescuespindle/fescuespindle/internal/platform"
	"github.com/fescuespindle/fescuespindle/internal/platformcaller"
)

// lateness is how long a late transaction is on its way.
const lateness = 5 * time.Second

// PlatformFaults are the probabilities of what goes wrong with a transaction.
type PlatformFaults struct {
	// Refused transactions are not sent.
	Refused float64
	// Late ones take effect long after the client has given up.
	Late float64
	// Lost ones take effect, but their answers don't come.
	Lost float64
}

// Platform stands in for the platform's table service. It has no objects.
type Platform struct {
	table *platformemulator.Table

	mu       sync.Mutex
	random   *rand.Rand
	faults   PlatformFaults
	down     bool
	requests int
}

// NewPlatform returns an empty table service without faults.
func NewPlatform(seed uint64) *Platform {
	return &Platform{table: platformemulator.NewTable(), random: rand.New(rand.NewPCG(seed, seed))}
}

// Table returns the rows.
func (p *Platform) Table() *platformemulator.Table { return p.table }

// SetFaults sets what goes wrong from now on.
func (p *Platform) SetFaults(faults PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// SetDown takes the service down or brings it back.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Requests returns the number of transactions that were asked for.
func (p *Platform) Requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}

// outcome is what a fault does to one transaction.
type outcome struct {
	refused, late, lost bool
}

func (p *Platform) draw() outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests++
	if p.down {
		return outcome{refused: true}
	}
	return outcome{
		refused: p.random.Float64() < p.faults.Refused,
		late:    p.random.Float64() < p.faults.Late,
		lost:    p.random.Float64() < p.faults.Lost,
	}
}

func (p *Platform) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

// Transact carries a transaction out, unless a fault prevents it.
func (p *Platform) Transact(ctx context.Context, tx platform.Transaction) (platform.TransactReply, error) {
	o := p.draw()
	if o.refused {
		return platform.TransactReply{}, platformcaller.ErrNotSent
	}
	if o.late {
		time.AfterFunc(lateness, func() { p.table.Transact(tx) })
		<-ctx.Done()
		return platform.TransactReply{}, platformcaller.ErrUnknown
	}
	reply := p.table.Transact(tx)
	if o.lost {
		return platform.TransactReply{}, platformcaller.ErrUnknown
	}
	return reply, nil
}

// Read returns rows.
func (p *Platform) Read(_ context.Context, keys []string) ([]platform.Row, error) {
	if p.isDown() {
		return nil, platformcaller.ErrNotSent
	}
	return p.table.Read(keys), nil
}

// Scan returns the rows of a range.
func (p *Platform) Scan(_ context.Context, r platform.ScanRequest) ([]platform.Row, error) {
	if p.isDown() {
		return nil, platformcaller.ErrNotSent
	}
	return p.table.Scan(r), nil
}

// PutObject keeps nothing.
func (p *Platform) PutObject(context.Context, string, []byte) error { return nil }

// GetObject returns nothing.
func (p *Platform) GetObject(context.Context, string) ([]byte, error) { return nil, nil }

// DeleteObject deletes nothing.
func (p *Platform) DeleteObject(context.Context, string) error { return nil }
