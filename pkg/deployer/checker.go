package deployer

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by each error of Check.
var ErrInvalid = errors.New("invalid configuration")

const maxPercent = 100

// checker collects the errors of a document.
type checker struct {
	problems []string
}

// require adds an error for the field at path, unless ok.
func (c *checker) require(ok bool, path, want string) {
	if !ok {
		c.problems = append(c.problems, path+": "+want)
	}
}

// Check validates the document. Its error lists each invalid field with its path and the
// condition that the field must meet.
func (doc Document) Check() error {
	c := &checker{}
	c.require(doc.Format == FormatVersion, "format", fmt.Sprintf("must be %d", FormatVersion))
	c.require(doc.Name != "", "name", "must not be empty")
	c.require(len(doc.Regions) > 0, "regions", "must list at least one region")
	c.require(doc.RegionLinkMegabits >= 0, "regionLinkMegabits", "must not be negative")
	regions := doc.checkRegions(c)
	targets := doc.checkDeployments(c, regions)
	doc.checkCallers(c, targets)
	if len(c.problems) == 0 {
		return nil
	}
	return fmt.Errorf("%w: %s", ErrInvalid, strings.Join(c.problems, "; "))
}

// checkRegions returns the names of the document's regions.
func (doc Document) checkRegions(c *checker) map[string]bool {
	regions := map[string]bool{}
	domains := map[string]bool{}
	for i, region := range doc.Regions {
		path := fmt.Sprintf("regions[%d]", i)
		c.require(region.Name != "" && !regions[region.Name], path+".name", "must be set and unique")
		c.require(len(region.Domains) > 0, path+".domains", "must list at least one failure domain")
		regions[region.Name] = true
		for _, domain := range region.Domains {
			c.require(domain != "" && !domains[domain], path+".domains", "names must be set and unique")
			domains[domain] = true
		}
	}
	return regions
}

// checkDeployments returns the names of the models and services that the document declares.
func (doc Document) checkDeployments(c *checker, regions map[string]bool) map[string]bool {
	targets := map[string]bool{}
	names := map[string]bool{}
	for i, d := range doc.Deployments {
		path := fmt.Sprintf("deployments[%d]", i)
		c.require(d.Name != "" && !names[d.Name], path+".name", "must be set and unique")
		names[d.Name] = true
		c.require(d.Pool != "", path+".pool", "must name a pool of the platform")
		c.require(d.Sequences > 0, path+".sequences", "must be at least 1")
		c.require(d.MinServing >= 0, path+".minServing", "must not be negative")
		c.require(d.OnlineReserve >= 0 && d.OnlineReserve <= d.Sequences,
			path+".onlineReserve", "must be between 0 and sequences")
		c.require(d.BatchPercent >= 0 && d.BatchPercent <= maxPercent, path+".batchPercent", "must be between 0 and 100")
		c.require(d.Fencing == FencingChecked || d.Fencing == FencingIgnored,
			path+".fencing", `must be "checked" or "ignored"`)
		c.require(len(d.Regions) > 0, path+".regions", "must list at least one region")
		for _, region := range d.Regions {
			c.require(regions[region], path+".regions", fmt.Sprintf("%q is not a region of this document", region))
		}
		d.checkTargets(c, path, targets)
	}
	return targets
}

// checkTargets checks the deployment's models or calls, and adds the names of its models or
// of its service to targets.
func (d Deployment) checkTargets(c *checker, path string, targets map[string]bool) {
	switch d.Kind {
	case KindEngine:
		c.require(len(d.Models) > 0, path+".models", "must list at least one model")
		c.require(len(d.Calls) == 0, path+".calls", "belongs to services only")
		for _, model := range d.Models {
			c.require(model.Name != "" && !targets[model.Name], path+".models", "names must be set and unique")
			c.require(model.Version != "", path+".models", "versions must be set")
			targets[model.Name] = true
		}
	case KindService:
		c.require(len(d.Models) == 0, path+".models", "belongs to engines only")
		c.require(!targets[d.Name], path+".name", "must differ from every model")
		for j, call := range d.Calls {
			c.require(call.Method != "" && strings.HasPrefix(call.Path, "/"),
				fmt.Sprintf("%s.calls[%d]", path, j), "must have a method and a path that starts with /")
		}
		targets[d.Name] = true
	default:
		c.require(false, path+".kind", `must be "engine" or "service"`)
	}
}

// checkCallers checks the callers, which may use only the names in targets.
func (doc Document) checkCallers(c *checker, targets map[string]bool) {
	names := map[string]bool{}
	digests := map[string]bool{}
	for i, caller := range doc.Callers {
		path := fmt.Sprintf("callers[%d]", i)
		c.require(caller.Name != "" && !names[caller.Name], path+".name", "must be set and unique")
		c.require(strings.HasPrefix(caller.TokenDigest, "sha256:") && !digests[caller.TokenDigest],
			path+".tokenDigest", `must start with "sha256:" and be unique`)
		c.require(caller.Weight > 0, path+".weight", "must be at least 1")
		names[caller.Name] = true
		digests[caller.TokenDigest] = true
		for _, use := range caller.Uses {
			c.require(targets[use], path+".uses", fmt.Sprintf("%q is no model or service of this document", use))
		}
	}
}
