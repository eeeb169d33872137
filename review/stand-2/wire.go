package main

import (
	_ "embed" // for wire.json
	"encoding/json"
)

//go:embed wire.json
var wireData []byte

// wire holds names of the platform, as its pages spell them.
var wire = mustDecodeWire()

func mustDecodeWire() map[string]string {
	var names map[string]string
	if err := json.Unmarshal(wireData, &names); err != nil {
		panic(err)
	}
	return names
}
