package sitebuilder_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/internal/standins/engineemulator"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// A new model version must reach every engine through orders, with and without
// fencing by the engine, while online requests keep getting correct answers.
func TestOrdersRollOut(t *testing.T) {
	for _, fencing := range []deployer.Fencing{deployer.FencingChecked, deployer.FencingIgnored} {
		t.Run(string(fencing), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			spec := sitebuilder.SingleDomain(2, 3)
			spec.EngineOptions = []engineemulator.Option{engineemulator.WithLoadTime(50 * time.Millisecond)}
			if fencing == deployer.FencingChecked {
				spec.EngineOptions = append(spec.EngineOptions, engineemulator.WithFencing())
			}
			site, err := sitebuilder.New(spec)
			qt.Assert(t, err, qt.IsNil)
			defer site.Close()
			_, err = site.Apply(ctx, spec.Document)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, site.WaitReady(ctx), qt.IsNil)

			doc := withVersion(spec.Document, "2026-11", fencing)
			_, err = site.Apply(ctx, doc)
			qt.Assert(t, err, qt.IsNil)
			for !allLoaded(site, "2026-11") {
				qt.Assert(t, ctx.Err(), qt.IsNil, qt.Commentf("not every engine has loaded the new version"))
				answer, err := site.Requester(site.VMs[0], sitebuilder.OnlineToken).Complete(ctx, spec.Model, "during", 4)
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, answer.Text(), qt.Equals, engineemulator.Answer("user: during\n", 4))
			}
		})
	}
}

// withVersion returns a copy of the document with another version of every model
// and another fencing mode of the engines.
func withVersion(doc deployer.Document, version string, fencing deployer.Fencing) deployer.Document {
	deployments := append([]deployer.Deployment(nil), doc.Deployments...)
	for i := range deployments {
		deployments[i].Models = append([]deployer.Model(nil), deployments[i].Models...)
		for j := range deployments[i].Models {
			deployments[i].Models[j].Version = version
		}
		if deployments[i].Kind == deployer.KindEngine {
			deployments[i].Fencing = fencing
		}
	}
	doc.Deployments = deployments
	return doc
}

func allLoaded(site *sitebuilder.Site, version string) bool {
	for _, engine := range site.Engines {
		for _, model := range engine.Loaded() {
			if model.Version != version {
				return false
			}
		}
	}
	return true
}
