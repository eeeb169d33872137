//go:build deps

// Package rattanthread holds the module's dependencies together while packages are being added.
package rattanthread

import (
	_ "github.com/BurntSushi/toml"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/coder/websocket"
	_ "github.com/coder/websocket/wsjson"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/go-faster/errors"
	_ "github.com/google/subcommands"
	_ "github.com/google/uuid"
	_ "github.com/gopacket/gopacket"
	_ "github.com/gopacket/gopacket/layers"
	_ "github.com/hashicorp/go-hclog"
	_ "github.com/matryer/is"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/prometheus/client_golang/prometheus/testutil"
	_ "github.com/thejerf/suture/v4"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/term"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
