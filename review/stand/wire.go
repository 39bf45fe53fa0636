package main

import (
	_ "embed"
	"encoding/json"
	"log"
)

//go:embed wire.json
var wireText []byte

// wire holds the platform's names, paths and formats by the names of this program. They stand in
// wire.json, since the program's own text uses the product's words only.
var wire = parseWire()

func parseWire() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireText, &names); err != nil {
		log.Fatalf("wire.json: %v", err)
	}
	return names
}
