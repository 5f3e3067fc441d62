package commander

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/fescuespindle/fescuespindle/internal/control/configkeeper"
	"github.com/fescuespindle/fescuespindle/internal/laboratory/sitebuilder"
	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

// storeTimeout limits the duration of a command that accesses the store.
const storeTimeout = 15 * time.Second

type configCommand struct {
	Print   configPrintCommand   `cmd:"" help:"Print a document in its canonical form, as auditors sign it."`
	Check   configCheckCommand   `cmd:"" help:"Check a document and print its digest."`
	Diff    configDiffCommand    `cmd:"" help:"Compare a document with another, or with the one in force."`
	Apply   configApplyCommand   `cmd:"" help:"Put a signed document in force."`
	History configHistoryCommand `cmd:"" help:"Print the audit trail."`
	Show    configShowCommand    `cmd:"" help:"Print the document in force, or an earlier one."`
}

// readDocument reads, parses and checks a document file.
func readDocument(path string) (deployer.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return deployer.Document{}, fmt.Errorf("read configuration: %w", err)
	}
	doc, err := deployer.Parse(text)
	if err != nil {
		return deployer.Document{}, fmt.Errorf("%s: %w", path, err)
	}
	return doc, nil
}

type configPrintCommand struct {
	File string `arg:"" type:"path" help:"The document."`
}

// Run prints a document in canonical form.
func (c *configPrintCommand) Run(e *environment) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	text, err := doc.Print()
	if err != nil {
		return err
	}
	e.print("%s", text)
	return nil
}

type configCheckCommand struct {
	File string `arg:"" type:"path" help:"The document."`
	JSON bool   `help:"Print JSON."`
}

// checkResult is the JSON output of config check.
type checkResult struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
}

// Run checks a document and prints its digest.
func (c *configCheckCommand) Run(e *environment) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	digest, err := doc.Digest()
	if err != nil {
		return err
	}
	if c.JSON {
		return e.printJSON(checkResult{Name: doc.Name, Digest: digest})
	}
	e.print("%s is right\n%s\n", doc.Name, digest)
	return nil
}

// platformFlags are the flags of commands that access the stored configuration.
type platformFlags struct {
	Platform string `required:"" placeholder:"URL" env:"FESCUESPINDLE_PLATFORM" help:"The platform's address."`
}

// withConfigKeeper runs a function with a configkeeper.Keeper on the platform's store. The
// function's context ends after storeTimeout.
func (f platformFlags) withConfigKeeper(e *environment, run func(context.Context, *configkeeper.Keeper) error) error {
	ctx, cancel := context.WithTimeout(e.ctx, storeTimeout)
	defer cancel()
	return sitebuilder.WithConfigKeeper(ctx, f.Platform, run)
}

// loadVersion returns the number, the digest and the text of a version of the configuration; 0
// means the newest version. It fails if no configuration has been applied yet.
func loadVersion(ctx context.Context, k *configkeeper.Keeper, version uint64) (configkeeper.Head, []byte, error) {
	head, err := k.Head(ctx)
	if err != nil {
		return head, nil, err
	}
	if version != 0 && version != head.Version {
		entry, err := k.Entry(ctx, version)
		if err != nil {
			return head, nil, err
		}
		head = configkeeper.Head{Version: entry.Version, Digest: entry.Digest}
	}
	if head.Version == 0 {
		return head, nil, errors.New("no configuration has been applied yet")
	}
	text, err := k.Text(ctx, head.Digest)
	return head, text, err
}

type configDiffCommand struct {
	File     string `arg:"" type:"path" help:"The new document."`
	With     string `type:"path" placeholder:"FILE" help:"The old document; without it, the one in force."`
	Platform string `placeholder:"URL" env:"FESCUESPINDLE_PLATFORM" help:"The platform's address."`
}

// Run prints the lines that differ between two documents.
func (c *configDiffCommand) Run(e *environment) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	newText, err := doc.Print()
	if err != nil {
		return err
	}
	oldText, err := c.oldText(e)
	if err != nil {
		return err
	}
	e.print("%s", deployer.Diff(oldText, newText))
	return nil
}

// oldText returns the canonical text to compare with: of the file given by --with, or of the
// configuration in force.
func (c *configDiffCommand) oldText(e *environment) ([]byte, error) {
	if c.With != "" {
		doc, err := readDocument(c.With)
		if err != nil {
			return nil, err
		}
		return doc.Print()
	}
	if c.Platform == "" {
		return nil, errors.New("either --with or --platform is needed")
	}
	var text []byte
	err := platformFlags{Platform: c.Platform}.withConfigKeeper(e,
		func(ctx context.Context, k *configkeeper.Keeper) error {
			var err error
			_, text, err = loadVersion(ctx, k, 0)
			return err
		})
	return text, err
}

type configApplyCommand struct {
	platformFlags
	File   string `arg:"" type:"path" help:"The document."`
	From   uint64 `required:"" help:"The version that the document was made from; 0 for the first."`
	Digest string `required:"" help:"The digest that the auditors signed."`
	By     string `required:"" help:"Who applies it."`
	Why    string `required:"" help:"Why."`
	JSON   bool   `help:"Print JSON."`
}

// Run puts a document in force. If another change was applied since version From, it fails
// with errConflict and prints the difference from that version to the newest.
func (c *configApplyCommand) Run(e *environment) error {
	doc, err := readDocument(c.File)
	if err != nil {
		return err
	}
	return c.withConfigKeeper(e, func(ctx context.Context, k *configkeeper.Keeper) error {
		entry, err := k.Apply(ctx, configkeeper.Change{
			From: c.From, Digest: c.Digest, Document: doc, By: c.By, Why: c.Why, At: time.Now(),
		})
		switch {
		case errors.Is(err, configkeeper.ErrWrongDigest):
			return fmt.Errorf("%w: %w", errConflict, err)
		case errors.Is(err, configkeeper.ErrStale):
			c.printChangesSince(ctx, e, k)
			return fmt.Errorf("%w: %w", errConflict, err)
		case err != nil:
			return err
		}
		if c.JSON {
			return e.printJSON(entry)
		}
		e.print("version %d is accepted\n", entry.Version)
		return nil
	})
}

// printChangesSince prints the difference from version From to the newest one to standard
// error. It prints nothing if either can't be read.
func (c *configApplyCommand) printChangesSince(ctx context.Context, e *environment, k *configkeeper.Keeper) {
	head, newer, err := loadVersion(ctx, k, 0)
	if err != nil {
		return
	}
	var older []byte
	if c.From > 0 {
		if _, older, err = loadVersion(ctx, k, c.From); err != nil {
			return
		}
	}
	_, _ = fmt.Fprintf(e.stderr, "changes from version %d to %d:\n%s", c.From, head.Version, deployer.Diff(older, newer))
}

type configHistoryCommand struct {
	platformFlags
	After uint64 `help:"Print the versions after this one."`
	JSON  bool   `help:"Print JSON."`
}

// Run prints the audit trail.
func (c *configHistoryCommand) Run(e *environment) error {
	return c.withConfigKeeper(e, func(ctx context.Context, k *configkeeper.Keeper) error {
		entries, err := k.History(ctx, c.After)
		if err != nil {
			return err
		}
		if c.JSON {
			return e.printJSON(entries)
		}
		for _, entry := range entries {
			e.print("%d  %s  %s  %s  %s\n", entry.Version, entry.At.Format(time.RFC3339), entry.By,
				strings.TrimPrefix(entry.Digest, "sha256:")[:12], entry.Why)
		}
		return nil
	})
}

type configShowCommand struct {
	platformFlags
	Version uint64 `help:"The version; without it, the newest."`
}

// Run prints a stored document to standard output, and its version and digest to standard
// error.
func (c *configShowCommand) Run(e *environment) error {
	return c.withConfigKeeper(e, func(ctx context.Context, k *configkeeper.Keeper) error {
		head, text, err := loadVersion(ctx, k, c.Version)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(e.stderr, "version %d, %s\n", head.Version, head.Digest)
		e.print("%s", text)
		return nil
	})
}
