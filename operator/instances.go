package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/dghubble/sling"

	"github.com/turmericlift/turmericlift/assigner"
	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/runner"
	"github.com/turmericlift/turmericlift/storer"
)

// getJSON sends a GET request with the operators' token to an instance's operator interface and decodes the JSON answer
// into into. Every status but 200 is an error.
func (c *console) getJSON(ctx context.Context, instance, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := sling.New().Base(strings.TrimSuffix(instance, "/")+"/").Get(path).Set("Authorization", "Bearer "+c.token).Request()
	if err != nil {
		return fmt.Errorf("instance %s: %w", instance, err)
	}
	resp, err := httpClient.Do(req.WithContext(ctx))
	if err != nil {
		return fmt.Errorf("instance %s: %w", instance, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("instance %s: request refused with status %s", instance, resp.Status)
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return fmt.Errorf("instance %s: decode answer: %w", instance, err)
	}
	return nil
}

var errNoInstances = errors.New("no instance given: set --instances or TURMERICLIFT_INSTANCES")

// fetchDumps returns the state of each instance that --instances names, in that order. It fails if one does not answer.
func (c *console) fetchDumps(ctx context.Context) ([]runner.Dump, error) {
	if len(c.instances) == 0 {
		return nil, errNoInstances
	}
	dumps := make([]runner.Dump, len(c.instances))
	for n, instance := range c.instances {
		if err := c.getJSON(ctx, instance, "dump", &dumps[n]); err != nil {
			return nil, err
		}
	}
	return dumps, nil
}

func setUpDump(*kingpin.CmdClause) func(context.Context, *console) error {
	return func(ctx context.Context, con *console) error {
		dumps, err := con.fetchDumps(ctx)
		if err != nil {
			return err
		}
		con.output = "json"
		return con.print(dumps, "", nil)
	}
}

// Status is what turmericctl status prints.
type Status struct {
	Instances []InstanceStatus
	Servers   []ServerStatus
	Services  []controller.DumpService
	Waits     []ServiceWait
}

// ServiceWait says what a moving partition of a service waits for.
type ServiceWait struct {
	Service identifier.ServiceName
	assigner.Wait
}

// InstanceStatus is the state of one instance.
type InstanceStatus struct {
	Instance identifier.Instance
	Zone     identifier.Zone
	State    string
	Revision identifier.Version
	// LiveInstances is the number of instances that this one believes alive or suspects, itself included.
	LiveInstances int `json:"Sees"`
	// CoordinatedServers is the number of backend servers that the instance coordinates.
	CoordinatedServers int `json:"Coordinates"`
	ZoneState          configurer.ZoneState
	// PlatformContactAgeMs is the time since the platform was last reached, in ms.
	PlatformContactAgeMs int64 `json:"ContactMs"`
}

// ServerStatus is the state of one backend server, as its coordinator sees it.
type ServerStatus struct {
	controller.DumpServer
	Coordinator identifier.Instance
	Limit       float64 // Limit is the number of requests that the coordinator lets run at the same time.
	Running     int
	Queued      int
}

func setUpStatus(*kingpin.CmdClause) func(context.Context, *console) error {
	return func(ctx context.Context, con *console) error {
		dumps, err := con.fetchDumps(ctx)
		if err != nil {
			return err
		}
		return con.printStatus(buildStatus(dumps))
	}
}

// buildStatus combines the states of instances. Services come from the instance that knows most of them, backend
// servers from their coordinators, and waits from the assigners.
func buildStatus(dumps []runner.Dump) Status {
	var s Status
	for _, d := range dumps {
		s.Instances = append(s.Instances, instanceStatus(d))
		for _, server := range d.Coordinates {
			queue := d.Queues[server.Server]
			s.Servers = append(s.Servers, ServerStatus{server, d.Instance, queue.Limit, queue.Running, queue.Queued})
		}
		if len(d.Services) > len(s.Services) {
			s.Services = d.Services
		}
		for _, service := range d.Services {
			for _, wait := range service.Waits {
				s.Waits = append(s.Waits, ServiceWait{service.Service, wait})
			}
		}
	}
	return s
}

// instanceStatus summarises the state of an instance.
func instanceStatus(d runner.Dump) InstanceStatus {
	state := "Ready"
	switch {
	case d.Leaving:
		state = "Leaving"
	case !d.Ready:
		state = "Starting"
	}
	liveInstances := 1
	for _, m := range d.Members {
		if m.Status == "Alive" || m.Status == "Suspect" {
			liveInstances++
		}
	}
	zone, ok := d.Zones[d.Zone]
	if !ok {
		zone = configurer.ZoneIn
	}
	return InstanceStatus{d.Instance, d.Zone, state, d.Revision, liveInstances, len(d.Coordinates), zone, d.ContactMs}
}

// printStatus prints s as JSON, or as three tables followed by the waits.
func (c *console) printStatus(s Status) error {
	if c.output == "json" {
		return c.print(s, "", nil)
	}
	var rows [][]string
	for _, i := range s.Instances {
		rows = append(rows, []string{string(i.Instance), string(i.Zone), string(i.ZoneState), i.State,
			fmt.Sprint(i.Revision), fmt.Sprint(i.LiveInstances), fmt.Sprint(i.CoordinatedServers), fmt.Sprint(i.PlatformContactAgeMs)})
	}
	if err := c.print(nil, "Instance Zone ZoneState State Revision Sees Coordinates ContactMs", rows); err != nil {
		return err
	}
	rows = nil
	for _, b := range s.Servers {
		rows = append(rows, []string{string(b.Server), string(b.Coordinator), fmt.Sprint(b.Term), string(b.State),
			fmt.Sprintf("%.1f", b.Limit), fmt.Sprint(b.Running), fmt.Sprint(b.Queued), fmt.Sprint(b.SilentMs)})
	}
	fmt.Fprintln(c.out)
	if err := c.print(nil, "BackendServer Coordinator Term State Limit Running Queued SilentMs", rows); err != nil {
		return err
	}
	rows = nil
	for _, d := range s.Services {
		rows = append(rows, []string{d.Service.String(), string(d.Assigner), fmt.Sprint(d.Version),
			fmt.Sprint(d.Partitions), fmt.Sprint(len(d.Moving)), fmt.Sprint(d.Pins)})
	}
	fmt.Fprintln(c.out)
	if err := c.print(nil, "Service Assigner Version Partitions Moving Pins", rows); err != nil {
		return err
	}
	for _, w := range s.Waits {
		fmt.Fprintf(c.out, "service %s: moving partition %d has waited %d ms for %s\n", w.Service, w.Partition, w.SinceMs, w.WaitsFor)
	}
	return nil
}

func setUpWhere(c *kingpin.CmdClause) func(context.Context, *console) error {
	organisation := c.Arg("organisation", "Name of the organisation.").Required().String()
	service := c.Arg("service", "Name of the service.").Required().String()
	key := c.Arg("key", "The key.").Required().String()
	return func(ctx context.Context, con *console) error {
		if len(con.instances) == 0 {
			return errNoInstances
		}
		var route runner.KeyRoute
		path := "where/" + url.PathEscape(*organisation) + "/" + url.PathEscape(*service) + "/" + url.PathEscape(*key)
		if err := con.getJSON(ctx, con.instances[0], path, &route); err != nil {
			return err
		}
		return con.print(route, "Partition Epoch BackendServer Coordinator MovingTo Code", [][]string{{
			fmt.Sprint(route.Partition), fmt.Sprint(route.Epoch), string(route.Server), string(route.Coordinator), string(route.NextOwner), route.Code,
		}})
	}
}

func setUpZone(state configurer.ZoneState) func(*kingpin.CmdClause) func(context.Context, *console) error {
	return func(c *kingpin.CmdClause) func(context.Context, *console) error {
		zone := c.Arg("zone", "Name of the availability zone.").Required().String()
		apply := c.Flag("yes", "Make the change; without it only show what would move.").Bool()
		return func(ctx context.Context, con *console) error {
			if err := identifier.CheckName("Zone", *zone); err != nil {
				return err
			}
			if !*apply {
				return con.previewZone(ctx, identifier.Zone(*zone), state)
			}
			return con.setZone(ctx, identifier.Zone(*zone), state)
		}
	}
}

// previewZone prints the backend servers of a zone and, if the instances answer, how many partitions each owns.
func (c *console) previewZone(ctx context.Context, z identifier.Zone, state configurer.ZoneState) error {
	list, err := c.store().Instances(ctx)
	if err != nil {
		return err
	}
	owned := map[string]int{}
	if dumps, err := c.fetchDumps(ctx); err == nil {
		for _, s := range dumps[0].Services {
			for b, n := range s.Owned {
				owned[string(b)] += n
			}
		}
	}
	var rows [][]string
	for _, l := range list.Instances {
		if l.Zone == z && l.Kind == storer.KindBackendServer {
			rows = append(rows, []string{l.ID, string(l.Organisation) + "/" + string(l.Service), fmt.Sprint(owned[l.ID])})
		}
	}
	if err := c.print(rows, "BackendServer Service Partitions", rows); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "nothing changed: zone %s would become %s; add --yes to make the change\n", z, state)
	return nil
}

// setZone writes the state of a zone, if nobody else has written the states of zones since they were read.
func (c *console) setZone(ctx context.Context, z identifier.Zone, state configurer.ZoneState) error {
	object, err := c.store().Read(ctx, controller.ZonesName)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return err
	}
	zones := configurer.Zones{}
	if object.Version > 0 {
		if zones, err = configurer.DecodeZones(object.Data); err != nil {
			return err
		}
	}
	data, err := zones.WithState(z, state).Encode()
	if err != nil {
		return err
	}
	return c.write(ctx, controller.ZonesName, object.Version, data)
}

func setUpDrain(drained bool) func(*kingpin.CmdClause) func(context.Context, *console) error {
	return func(c *kingpin.CmdClause) func(context.Context, *console) error {
		level := c.Arg("service", "organisation/service").Required().String()
		server := c.Arg("server", "Name of the backend server.").Required().String()
		return func(ctx context.Context, con *console) error {
			path, err := parsePath(*level)
			if err != nil {
				return err
			}
			what := fmt.Sprintf("drain %s=%t", *server, drained)
			return con.updateTree(ctx, path.Organisation, what, func(t *configurer.Tree) error {
				return t.SetDrained(path.Service, identifier.BackendServer(*server), drained)
			})
		}
	}
}

func setUpPin(pinned bool) func(*kingpin.CmdClause) func(context.Context, *console) error {
	return func(c *kingpin.CmdClause) func(context.Context, *console) error {
		level := c.Arg("service", "organisation/service").Required().String()
		key := c.Arg("key", "The hot key.").Required().String()
		return func(ctx context.Context, con *console) error {
			path, err := parsePath(*level)
			if err != nil {
				return err
			}
			what := fmt.Sprintf("pin %s=%t", *key, pinned)
			return con.updateTree(ctx, path.Organisation, what, func(t *configurer.Tree) error {
				if pinned {
					return t.Pin(path.Service, identifier.Key(*key))
				}
				return t.Unpin(path.Service, identifier.Key(*key))
			})
		}
	}
}

func setUpMove(c *kingpin.CmdClause) func(context.Context, *console) error {
	level := c.Arg("service", "organisation/service").Required().String()
	key := c.Arg("key", "The key.").Required().String()
	server := c.Arg("server", "Name of the backend server.").Required().String()
	return func(ctx context.Context, con *console) error {
		path, err := parsePath(*level)
		if err != nil {
			return err
		}
		return con.updateTree(ctx, path.Organisation, "move "+*key+" to "+*server, func(t *configurer.Tree) error {
			return t.PinTo(path.Service, identifier.Key(*key), identifier.BackendServer(*server))
		})
	}
}
