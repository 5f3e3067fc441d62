package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/configkeeper"
	"github.com/fescuespindle/fescuespindle/internal/control/peer"
	"github.com/fescuespindle/fescuespindle/internal/control/propagator"
	"github.com/fescuespindle/fescuespindle/internal/control/stepper"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

const configReadTimeout = 3 * time.Second

// configuration manages the configuration in force.
type configuration struct {
	c          *Controller
	core       *propagator.Propagator
	keeper     *configkeeper.Keeper
	document   deployer.Document
	unreadable string // why the newest configuration can't be read, or empty
}

func newConfiguration(c *Controller) *configuration {
	core := propagator.New(c.Location.VM)
	core.SetSeeds(c.Location.Seeds)
	return &configuration{c: c, core: core, keeper: configkeeper.New(c.Store)}
}

func (f *configuration) current() propagator.Config { return f.core.Current() }

// reason returns why the VM isn't ready, or "" if it is.
func (f *configuration) reason() string {
	if f.unreadable != "" {
		return f.unreadable
	}
	return f.core.Reason()
}

func (f *configuration) tick(now time.Time) {
	f.c.members.prober.SetConfigVersion(f.core.Current().Version())
	f.execute(f.core.Tick(now))
}

func (f *configuration) receive(from peer.Sender, message peer.Message, now time.Time) {
	f.execute(f.core.Receive(from, message, now))
}

func (f *configuration) execute(actions []propagator.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case propagator.ReadHead:
			f.readHead()
		case propagator.ReadText:
			f.readText(a)
		case propagator.Send:
			f.c.sender.Send(a.Address, a.Message)
		case propagator.Adopt:
			f.adopt(a.Config)
		}
	}
}

func (f *configuration) readHead() {
	f.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
		defer cancel()
		head, err := f.keeper.Head(ctx)
		return func(now time.Time) {
			f.execute(f.core.HeadRead(head.Version, head.Digest, err, now))
			f.c.viewStale = f.c.viewStale || f.core.Current().Version() == 0 // the reason may have changed
		}
	})
}

func (f *configuration) readText(a propagator.ReadText) {
	f.c.loop.Go(func(ctx context.Context) stepper.Event {
		ctx, cancel := context.WithTimeout(ctx, configReadTimeout)
		defer cancel()
		text, err := f.keeper.Text(ctx, a.Digest)
		config, ok := propagator.NewConfig(a.Version, a.Digest, text)
		if err == nil && !ok {
			err = fmt.Errorf("configuration %d doesn't have its digest", a.Version)
		}
		return func(now time.Time) { f.execute(f.core.TextRead(config, err, now)) }
	})
}

// adopt puts a configuration in force. A configuration that this program can't read,
// because a newer release wrote it, takes the VM out of service: continuing with the
// previous one would revert to an outdated version.
func (f *configuration) adopt(config propagator.Config) {
	f.c.viewStale = true
	var document deployer.Document
	if err := json.Unmarshal(config.Text(), &document); err != nil || document.Format != deployer.FormatVersion {
		f.unreadable = fmt.Sprintf("configuration %d has a format that this program can't read", config.Version())
		f.c.Logger.Error("configuration unreadable", "version", config.Version())
		return
	}
	f.unreadable = ""
	f.document = document
	f.c.Counters.Count("config_changes_total")
	f.c.Logger.Info("configuration in force", "version", config.Version(), "digest", config.Digest())
}
