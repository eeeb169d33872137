// Command rattanthread runs and operates a layer-4 load balancer.
package main

import (
	"context"
	"flag"
	"os"
	"slices"

	"github.com/google/subcommands"

	"github.com/rattanthread/rattanthread/command"
)

// commands returns every command of the program.
func commands() []subcommands.Command {
	return slices.Concat(
		command.All(),
	)
}

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	for _, c := range commands() {
		subcommands.Register(c, "")
	}
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
