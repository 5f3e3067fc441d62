package site

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

//go:embed configuration.json
var configurationText []byte

//go:embed settings.json
var settingsText []byte

//go:embed settings_large.json
var settingsLargeText []byte

// Host is the host of all routes.
const Host = "a.example"

// names are the paths and headers of the platform that the stand-ins of callers use.
var names = struct {
	Results   string `json:"results"`
	Items     string `json:"items"`
	Readiness string `json:"readiness"`
	ID        string `json:"id"`
	Timeout   string `json:"timeout"`
	Tokens    string `json:"tokens"`
	Prompt    string `json:"prompt"`
}{}

func init() {
	if err := json.Unmarshal(namesText, &names); err != nil {
		Fatal("names: %v", err)
	}
}

// HeaderTokens and HeaderPrompt are the headers of an item that say how large it is.
func HeaderTokens() string { return names.Tokens }

// HeaderPrompt is the header with the parts of a prompt.
func HeaderPrompt() string { return names.Prompt }
