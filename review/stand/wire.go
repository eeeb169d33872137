package stand

import (
	"bytes"
	"embed"
	"encoding/json"
	"net/netip"
	"text/template"
)

// wire holds the names and records of the platform, as its pages spell them.
//
//go:embed wire
var wire embed.FS

var (
	templates = template.Must(template.ParseFS(wire, "wire/*.tmpl"))
	names     = mustLoadNames()
)

// wireNames are names of the platform.
type wireNames struct {
	// Readiness is the path of the routers' checks, Instance the header that identifies a target.
	Readiness, Instance string
}

func mustLoadNames() wireNames {
	var n wireNames
	data, err := wire.ReadFile("wire/names.json")
	if err == nil {
		err = json.Unmarshal(data, &n)
	}
	if err != nil {
		panic(err)
	}
	return n
}

// configRecord is what the operator writes.
type configRecord struct {
	Version       int
	Routes        []netip.AddrPort
	Service       string
	Warmup        float64
	ColdPerSecond float64
}

// serverRecord is what a target writes at each check-in.
type serverRecord struct {
	Service       string
	Address       netip.AddrPort
	Zone          string
	State         string
	ColdRemaining int64
	Heartbeat     int
	Born          int64
}

// render returns a record in the platform's form.
func render(name string, record any) json.RawMessage {
	var buffer bytes.Buffer
	if err := templates.ExecuteTemplate(&buffer, name, record); err != nil {
		panic(err)
	}
	return buffer.Bytes()
}
