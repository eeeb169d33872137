// Command rattanthread-entry runs one entry host on the users' platform. It is
// "rattanthread entry" without the other commands, so that it starts faster.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/rattanthread/rattanthread/entry"
)

func main() {
	var c entry.Command
	c.SetFlags(flag.CommandLine)
	flag.Parse()
	os.Exit(int(c.Execute(context.Background(), flag.CommandLine)))
}
