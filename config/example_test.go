package config_test

import (
	"fmt"

	"github.com/rattanthread/rattanthread/config"
)

const exampleTOML = `
[[data_centre]]
name = "tp1"

[[service]]
name = "hints"
address = "10.0.0.1:7001"

[[server]]
name = "hints-1"
service = "hints"
data_centre = "tp1"
address = "10.1.0.1:8001"
health_address = "10.1.0.1:9001"
`

func ExampleCheck() {
	set, err := config.Parse(config.File{Name: "hints.toml", Data: []byte(exampleTOML)})
	if err != nil {
		fmt.Println(err)
		return
	}
	set.Servers[0].Drain = true
	fmt.Println(config.Check(set))
	// Output:
	// hints.toml:5: service hints: no backend server can serve it: at least one must be allowed by the rules, not draining, and in a data centre that is in service
}

func ExampleDiff() {
	set, err := config.Parse(config.File{Name: "hints.toml", Data: []byte(exampleTOML)})
	if err != nil {
		fmt.Println(err)
		return
	}
	old := set.Normalised()
	updated := set.Normalised()
	updated.DataCentres[0].State = config.StateOut
	updated.Servers[0].Weight = 50
	updated.Rules = []config.Rule{{Name: "only-tp1", Service: "hints", Kind: config.RuleOnly, DataCentres: nil}}
	for _, change := range config.Diff(old, updated) {
		fmt.Println(change)
	}
	// Output:
	// ~ data_centre tp1: state in -> out
	// ~ server hints-1: weight 100 -> 50
	// + rule only-tp1: service hints, kind only
}
