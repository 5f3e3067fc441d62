//go:build wireinject

package assembler

import (
	"log/slog"

	"github.com/google/wire"

	"github.com/fescuespindle/fescuespindle/internal/control/controller"
	"github.com/fescuespindle/fescuespindle/internal/control/publisher"
	"github.com/fescuespindle/fescuespindle/internal/control/vmlister"
	"github.com/fescuespindle/fescuespindle/internal/faces/operator"
	"github.com/fescuespindle/fescuespindle/internal/faces/server"
	"github.com/fescuespindle/fescuespindle/internal/faces/settingsloader"
	"github.com/fescuespindle/fescuespindle/internal/online/dispatcher"
	"github.com/fescuespindle/fescuespindle/internal/online/linkmeter"
	"github.com/fescuespindle/fescuespindle/internal/online/pathfinder"
	"github.com/fescuespindle/fescuespindle/internal/online/quarantiner"
	"github.com/fescuespindle/fescuespindle/internal/online/relayer"
	"github.com/fescuespindle/fescuespindle/internal/online/servicecaller"
	"github.com/fescuespindle/fescuespindle/internal/plumbing/counter"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
)

// New assembles an entry VM. It serves nothing until Start is called.
func New(
	settings settingsloader.Settings, listeners Listeners, secret PeerSecret, process ProcessNumber, dialers Dialers,
	logger *slog.Logger, options []dispatcher.Option,
) *VM {
	wire.Build(
		newCounters, newPlatform, newStore, newJobs, newAuthenticator, newFinder, newCarrier, newRelayer, newClaimer, newLocation, newMessenger, newDispatcher,
		newProfiling, vmlister.New, linkmeter.New, publisher.New, quarantiner.New, controller.New, server.New,
		operator.New, servicecaller.New,
		wire.Struct(new(controller.Dependencies), "*"),
		wire.Struct(new(VM), "settings", "logger", "listeners", "store", "messenger", "controller", "publisher",
			"dispatcher", "claimer", "relayer", "finder", "carrier", "authenticator", "counters", "server", "operator"),
		wire.Bind(new(controller.Links), new(*pathfinder.Finder)),
		wire.Bind(new(controller.Lister), new(*vmlister.Lister)),
		wire.Bind(new(rowstore.Store), new(*platform.Store)),
		wire.Bind(new(servicecaller.Sender), new(*relayer.Relayer)),
		wire.Bind(new(dispatcher.Observer), new(*controller.Controller)),
		wire.Bind(new(server.CancellationBroadcaster), new(*controller.Controller)),
		wire.Bind(new(operator.StateProvider), new(*controller.Controller)),
		wire.Bind(new(operator.Tracer), new(*dispatcher.Dispatcher)),
		wire.Bind(new(dispatcher.Link), new(*linkmeter.Meter)),
		wire.Bind(new(linkmeter.Counter), new(*counter.Counters)),
		wire.Bind(new(dispatcher.Counter), new(*counter.Counters)),
	)
	return nil
}
