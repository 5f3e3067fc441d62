// Command trentvale prints the configuration of Trentvale Maypole Holdings in canonical form,
// which its auditors sign.
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

// document returns the company's configuration: two regions, one model and one service.
func document() deployer.Document {
	return deployer.New("trentvale",
		deployer.WithRegion("east-mids", "nottingham", "leicester"),
		deployer.WithRegion("west-mids", "walsall"),
		deployer.WithEngines("pole-assistant", 8,
			deployer.InRegions("east-mids", "west-mids"),
			deployer.WithModel("pole-assistant", "7"),
			deployer.WithOnlineReserve(1),
			deployer.WithFencing(deployer.FencingIgnored)),
		deployer.WithService("yard-ledger", 16,
			deployer.InRegions("east-mids", "west-mids"),
			deployer.WithRepeatableCall("GET", "/bays"),
			deployer.WithSingleCall("POST", "/collections")),
		deployer.WithCaller("parish-clerks", deployer.TokenDigest("parish-clerks-token"),
			deployer.Using("pole-assistant", "yard-ledger"), deployer.WithWeight(2)),
		deployer.WithCaller("depots", deployer.TokenDigest("depots-token"),
			deployer.Using("pole-assistant"), deployer.WithWeight(2), deployer.WithBatch()))
}
