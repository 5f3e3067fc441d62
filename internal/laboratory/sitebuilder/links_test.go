package sitebuilder_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

// Guards against: callers of a VM that has lost its links to all upstreams are failed although peer
// VMs reach them, in the product's own interface.
func TestVMWithoutLinksServesThroughPeers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	site, spec := startSite(ctx, t)
	vm := site.VMs[0]
	site.LoseLinks(vm.ID, true)
	caller := site.Requester(vm, sitebuilder.OnlineToken)
	for n := range 20 {
		prompt := fmt.Sprint("verse ", n)
		answer, err := caller.Complete(ctx, spec.Model, prompt, 12)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer.Text(), qt.Equals, engineemulator.Answer("user: "+prompt+"\n", 12))
	}
	runBatch(ctx, t, site.Requester(vm, sitebuilder.BatchToken), spec, 20)
}
