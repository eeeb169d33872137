package registry_test

import (
	"context"
	"errors"
	"fmt"

	"github.com/rattanthread/rattanthread/config"
	"github.com/rattanthread/rattanthread/registry"
	"github.com/rattanthread/rattanthread/registrystandin"
)

func ExampleClient_Publish() {
	var server registrystandin.Server
	client := registry.Client{URL: "http://platform.test", HTTP: server.HTTPClient()}
	ctx := context.Background()

	base, _ := client.Head(ctx)
	set := config.Set{DataCentres: []config.DataCentre{{Name: "tp1"}}}
	published, err := client.Publish(ctx, base, set, "first-publication")
	fmt.Println(published.Revision, err)

	_, err = client.Publish(ctx, base, set, "second-publication")
	fmt.Println(errors.Is(err, registry.ErrConflict), err)
	// Output:
	// 1 <nil>
	// true revision 1 was published after revision 0 was read
}
