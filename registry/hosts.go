package registry

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"github.com/rattanthread/rattanthread/fleet"
)

const hostPrefix = "hosts/"

// HostState is the state of a registered host.
type HostState string

// The states of a registered host. A live host accepts new work.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostObject is the object by which an entry host is registered with the platform.
type HostObject struct {
	Host fleet.Host `cbor:"host"`
	// Admin is the address at which the host serves /status and /metrics.
	Admin netip.AddrPort `cbor:"admin,omitzero"`
	State HostState      `cbor:"state"`
}

// Hosts lists the live and leaving entry hosts. The list may lag behind.
func (c *Client) Hosts(ctx context.Context) ([]fleet.Host, error) {
	objects, err := c.HostObjects(ctx)
	hosts := make([]fleet.Host, len(objects))
	for i, object := range objects {
		hosts[i] = object.Host
	}
	return hosts, err
}

// HostObjects lists the live and leaving entry hosts with their states, sorted
// by id. The list may lag behind.
func (c *Client) HostObjects(ctx context.Context) ([]HostObject, error) {
	obj, _, err := c.do(ctx, apiCall{
		step:             StepHosts,
		kind:             CallRead,
		method:           http.MethodGet,
		query:            url.Values{"prefix": {hostPrefix}},
		maxResponseBytes: MaxListBytes,
	})
	if err != nil {
		return nil, err
	}
	var list List
	if err := json.Unmarshal(obj.value, &list); err != nil {
		return nil, c.newError(StepHosts, ErrUnavailable, errors.Wrap(err, "decode list"))
	}
	hosts := make([]HostObject, 0, len(list.Objects))
	for _, listed := range list.Objects {
		host, err := decodeHost(listed.Value)
		if err != nil {
			// A malformed object must not hide the other hosts.
			c.count(CallMalformed)
			continue
		}
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b HostObject) int { return cmp.Compare(a.Host.ID, b.Host.ID) })
	return hosts, nil
}

// List is the response to a request for all objects whose name has a prefix.
type List struct {
	Objects []ListEntry `json:"objects"`
}

// ListEntry is one object of a List.
type ListEntry struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// Register registers a live host until the lease expires. Hosts must renew the
// registration well before that.
func (c *Client) Register(ctx context.Context, host fleet.Host, lease time.Duration) error {
	return c.RegisterObject(ctx, HostObject{Host: host, State: HostLive}, lease)
}

// RegisterObject is like Register, but includes a state and an admin address. It
// returns ErrConflict if a later incarnation of the host has registered, in which
// case the caller must stop. A renewal takes one call.
func (c *Client) RegisterObject(ctx context.Context, object HostObject, lease time.Duration) error {
	value, err := cbor.Marshal(object)
	if err != nil {
		return c.newError(StepRegister, ErrRefused, errors.Wrap(err, "encode host"))
	}
	name := hostPrefix + string(object.Host.ID)
	version := c.hostVersion(name)
	call := apiCall{
		step:             StepRegister,
		kind:             CallWrite,
		method:           http.MethodPut,
		name:             name,
		query:            url.Values{"lease": {lease.String()}},
		value:            value,
		ifVersion:        &version,
		maxResponseBytes: MaxObjectBytes,
	}
	obj, _, err := c.do(ctx, call)
	if errors.Is(err, ErrConflict) {
		version, err = c.replaceableVersion(ctx, object.Host)
		if err != nil {
			return err
		}
		obj, _, err = c.do(ctx, call)
	}
	if errors.Is(err, ErrConflict) {
		// Only a later incarnation is a conflict; here the read lagged.
		err = c.newError(StepRegister, ErrUnavailable, errors.New(err.Error()))
	}
	if err == nil {
		c.setHostVersion(name, obj.version)
	}
	return err
}

// replaceableVersion returns the version of the host's object, or an error if the
// object belongs to a later incarnation.
func (c *Client) replaceableVersion(ctx context.Context, host fleet.Host) (Version, error) {
	current, version, err := c.readHost(ctx, host.ID)
	switch {
	case errors.Is(err, ErrNotFound):
		return 0, nil
	case err != nil:
		return 0, err
	case current.Host.Incarnation > host.Incarnation:
		cause := errors.Errorf("host %s is registered with incarnation %d, later than %d", host.ID, current.Host.Incarnation, host.Incarnation)
		return 0, c.newError(StepRegister, ErrConflict, cause)
	}
	return version, nil
}

func (c *Client) readHost(ctx context.Context, id fleet.HostID) (HostObject, Version, error) {
	obj, _, err := c.do(ctx, apiCall{
		step:             StepRegister,
		kind:             CallRead,
		method:           http.MethodGet,
		name:             hostPrefix + string(id),
		maxResponseBytes: MaxObjectBytes,
	})
	if err != nil {
		return HostObject{}, 0, err
	}
	host, err := decodeHost(obj.value)
	if err != nil {
		return HostObject{}, 0, c.newError(StepRegister, ErrUnavailable, err)
	}
	return host, obj.version, nil
}

// Deregister removes this client's registration of the host. It does not affect the
// registration of a later incarnation.
func (c *Client) Deregister(ctx context.Context, id fleet.HostID) error {
	name := hostPrefix + string(id)
	version := c.hostVersion(name)
	if version == 0 {
		return nil
	}
	_, _, err := c.do(ctx, apiCall{
		step:             StepDeregister,
		kind:             CallWrite,
		method:           http.MethodDelete,
		name:             name,
		ifVersion:        &version,
		maxResponseBytes: MaxObjectBytes,
	})
	if err == nil || errors.Is(err, ErrConflict) || errors.Is(err, ErrNotFound) {
		c.setHostVersion(name, 0)
		return nil
	}
	return err
}

func decodeHost(value []byte) (HostObject, error) {
	var host HostObject
	err := cbor.Unmarshal(value, &host)
	if err != nil {
		return HostObject{}, errors.Wrap(err, "decode host")
	}
	return host, nil
}

func (c *Client) hostVersion(name string) Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostVersions[name]
}

func (c *Client) setHostVersion(name string, version Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hostVersions == nil {
		c.hostVersions = map[string]Version{}
	}
	c.hostVersions[name] = version
}
