// Command authority prints the configuration of the Dar es Salaam Municipal Water and
// Scripture Services Authority in canonical form, which its auditors sign.
package main

import (
	"fmt"
	"os"

	"github.com/fescuespindle/fescuespindle/pkg/deployer"
)

func main() {
	text, err := document().Print()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	_, _ = os.Stdout.Write(text)
}

// document returns the authority's configuration: two regions, one model and one service.
func document() deployer.Document {
	return deployer.New("authority",
		deployer.WithRegion("pwani", "pwani-kariakoo", "pwani-mbezi"),
		deployer.WithRegion("dodoma", "dodoma-makulu"),
		deployer.WithEngines("scribe-lm", 8,
			deployer.InRegions("pwani", "dodoma"),
			deployer.WithModel("scribe-lm", "2026-10", "kufic", "thuluth"),
			deployer.WithOnlineReserve(2),
			deployer.WithFencing(deployer.FencingChecked),
			deployer.WithMinServing(2)),
		deployer.WithService("order-desk", 16,
			deployer.InRegions("pwani", "dodoma"),
			deployer.WithRepeatableCall("GET", "/prices"),
			deployer.WithSingleCall("POST", "/commissions")),
		deployer.WithCaller("parish-clerks", deployer.TokenDigest("parish-clerks-token"),
			deployer.Using("scribe-lm", "order-desk"), deployer.WithWeight(4)),
		deployer.WithCaller("scribes", deployer.TokenDigest("scribes-token"),
			deployer.Using("scribe-lm"), deployer.WithBatch()))
}
