//go:build wireinject

package entryvm

import (
	"log/slog"

	"github.com/google/wire"

	"github.com/fescuespindle/fescuespindle/internal/online/courier"
	"github.com/fescuespindle/fescuespindle/internal/store/rowstore"
	"github.com/fescuespindle/fescuespindle/platform"
)

// assemble builds the parts of a VM. New adds the references between them that are cyclic.
func assemble(settings platform.Settings, logger *slog.Logger) (*VM, error) {
	wire.Build(
		newBootID, newCallbacks, newCounters, newRationer, newSupervisor, newCodec, newBootstrapper,
		newReporter, newFinder, newCarrier, newPlacer, newForwarder, newRelayer, newCallCounter, newStore, newMemberKeeper,
		newOwner, newJobKeeper, newMover, newRunner, newSharedState, newCanceller, newJobServer, newGateway, courier.New, newAnalyzer,
		newVersionKeeper, newFleet, newIdentifier, newSharer, newBounder, newSpooler, newQuotas,
		wire.Struct(new(VM), "settings", "bootID", "logger", "counter", "relayer", "store", "finder", "carrier", "forwarder", "placer",
			"crashes", "versions", "reporter", "memberKeeper",
			"gateway", "jobKeeper", "runner", "cancels", "shared", "callbacks", "tasks", "bootstrapper", "sharer", "mover", "fleet", "identifier",
			"bounder", "spooler", "quotas"),
		wire.Bind(new(rowstore.Store), new(*platform.Store)),
		wire.Bind(new(courier.Codec), new(platform.Codec)),
	)
	return nil, nil
}
