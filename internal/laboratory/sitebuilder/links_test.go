package sitebuilder_test

import (
	"context"
	"fmt"
	"strings"
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
	spec := sitebuilder.Authority()
	site, err := sitebuilder.New(spec)
	qt.Assert(t, err, qt.IsNil)
	defer site.Close()
	_, err = site.Apply(ctx, spec.Document)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, site.WaitReady(ctx), qt.IsNil)
	vm := site.VMs[0]
	site.LoseLinks(vm.ID, true)
	caller := site.Requester(vm, sitebuilder.OnlineToken)
	for n := range 20 {
		prompt := fmt.Sprint("verse ", n)
		answer, err := caller.Complete(ctx, spec.Model, prompt, 12)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, answer.Text(), qt.Equals, engineemulator.Answer("user: "+prompt+"\n", 12))
	}
	batch := site.Requester(vm, sitebuilder.BatchToken)
	file, err := batch.Upload(ctx, "lot.jsonl", strings.NewReader(sitebuilder.BatchInput(spec.Model, "lot", 20, 8)))
	qt.Assert(t, err, qt.IsNil)
	job, err := batch.Submit(ctx, file.ID, "/v1/chat/completions", "1h", "lot-1")
	qt.Assert(t, err, qt.IsNil)
	for job.Status == "in_progress" {
		time.Sleep(20 * time.Millisecond)
		job, err = batch.Status(ctx, job.ID)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, job.RequestCounts.Completed, qt.Equals, 20)
}
