package sitebuilder_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/requester"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
)

// Online requests and a batch job must work end to end on a site of the stand-ins.
func TestEndToEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	site, spec := startSite(ctx, t)

	t.Run("online", func(t *testing.T) {
		for _, vm := range site.VMs {
			answer, err := site.Requester(vm, sitebuilder.OnlineToken).Complete(ctx, spec.Model, "where is verse 3", 12)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, answer.Text(), qt.Equals, engineemulator.Answer("user: where is verse 3\n", 12))
		}
	})
	t.Run("batch", func(t *testing.T) {
		const items = 60
		batch := runBatch(ctx, t, site.Requester(site.VMs[0], sitebuilder.BatchToken), spec, items)
		var results bytes.Buffer
		last := site.Requester(site.VMs[len(site.VMs)-1], sitebuilder.BatchToken)
		qt.Assert(t, last.Results(ctx, batch.ID, &results), qt.IsNil)
		expectEachItemOnce(t, results.String(), items)
	})
}

// startSite starts a site with its configuration in force. It is closed at the end of the test.
func startSite(ctx context.Context, t *testing.T) (*sitebuilder.Site, sitebuilder.Spec) {
	t.Helper()
	spec := sitebuilder.Authority()
	site, err := sitebuilder.New(spec)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(site.Close)
	_, err = site.Apply(ctx, spec.Document)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, site.WaitReady(ctx), qt.IsNil)
	return site, spec
}

// runBatch submits a batch and waits until all of its items are completed.
func runBatch(
	ctx context.Context, t *testing.T, caller *requester.Requester, spec sitebuilder.Spec, items int,
) requester.Batch {
	t.Helper()
	file, err := caller.Upload(ctx, "lot.jsonl", strings.NewReader(sitebuilder.BatchInput(spec.Model, "lot", items, 8)))
	qt.Assert(t, err, qt.IsNil)
	batch, err := caller.Submit(ctx, file.ID, "/v1/chat/completions", "1h", "lot-1")
	qt.Assert(t, err, qt.IsNil)
	for batch.Status == "in_progress" {
		time.Sleep(20 * time.Millisecond)
		batch, err = caller.Status(ctx, batch.ID)
		qt.Assert(t, err, qt.IsNil)
	}
	qt.Assert(t, batch.Status, qt.Equals, "completed")
	qt.Assert(t, batch.RequestCounts.Completed, qt.Equals, items)
	return batch
}

func expectEachItemOnce(t *testing.T, results string, items int) {
	t.Helper()
	seen := map[string]int{}
	for line := range strings.Lines(results) {
		var result struct {
			CustomID string `json:"custom_id"`
		}
		qt.Assert(t, json.Unmarshal([]byte(line), &result), qt.IsNil)
		seen[result.CustomID]++
	}
	for n := range items {
		qt.Check(t, seen[fmt.Sprintf("lot-%d", n)], qt.Equals, 1)
	}
}
