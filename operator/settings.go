package operator

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/alecthomas/kingpin/v2"

	"github.com/turmericlift/turmericlift/configurer"
	"github.com/turmericlift/turmericlift/controller"
	"github.com/turmericlift/turmericlift/identifier"
	"github.com/turmericlift/turmericlift/storer"
)

// parsePath parses a level of the settings tree: organisation[/service[/zone]]. Its errors make the command exit with
// ExitUsage.
func parsePath(s string) (configurer.Path, error) {
	parts := strings.Split(s, "/")
	if len(parts) > 3 {
		return configurer.Path{}, &configurer.FieldError{Path: s, Field: "level", Value: s, Reason: "organisation[/service[/zone]]"}
	}
	fields := []string{"Organisation", "Service", "Zone"}
	for n, part := range parts {
		if err := identifier.CheckName(fields[n], part); err != nil {
			return configurer.Path{}, err
		}
	}
	parts = append(parts, "", "")
	return configurer.Path{
		Organisation: identifier.Organisation(parts[0]), Service: identifier.Service(parts[1]), Zone: identifier.Zone(parts[2]),
	}, nil
}

// readTree returns the settings of an organisation and their version. If there are none yet they are empty and the
// version is 0.
func (c *console) readTree(ctx context.Context, o identifier.Organisation) (*configurer.Tree, identifier.Version, error) {
	object, err := c.store().Read(ctx, controller.SettingsName(o))
	if errors.Is(err, storer.ErrNotFound) {
		return configurer.NewTree(o), 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	t, err := configurer.Decode(object.Data)
	return t, object.Version, err
}

// writeTree adds a change described by what to the history, checks the settings of an organisation as a whole and
// writes them if their version at the platform is still v. A *storer.ConflictError says that it is not.
func (c *console) writeTree(ctx context.Context, t *configurer.Tree, v identifier.Version, what string) error {
	t.RecordChange(configurer.Change{At: c.now().UTC().Truncate(time.Second), Operator: c.operator, What: what})
	if err := t.Check(); err != nil {
		return err
	}
	data, err := t.Encode()
	if err != nil {
		return err
	}
	return c.write(ctx, controller.SettingsName(t.Organisation), v, data)
}

// write writes an object if its version is still v. If the platform's answer is lost it reads the object back to learn
// the outcome.
func (c *console) write(ctx context.Context, name string, v identifier.Version, data []byte) error {
	written, err := c.store().Write(ctx, name, v, data)
	if errors.Is(err, storer.ErrOutcomeUnknown) {
		written, err = c.readBack(ctx, name, v, data)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "written as version %d\n", written)
	return nil
}

// readBack reads an object after a write whose outcome is unknown. It returns the object's version if the object holds
// data, and an error if it is unchanged, was changed by another writer or cannot be read.
func (c *console) readBack(ctx context.Context, name string, before identifier.Version, data []byte) (identifier.Version, error) {
	o, err := c.store().Read(ctx, name)
	switch {
	case err != nil && !errors.Is(err, storer.ErrNotFound):
		return 0, fmt.Errorf("outcome of the write unknown and reading it back failed; read the object before you retry: %w", err)
	case string(o.Data) == string(data):
		return o.Version, nil
	case o.Version == before:
		return 0, fmt.Errorf("write %s: %w; it had not taken effect when the object was read back", name, storer.ErrUnavailable)
	}
	return 0, &storer.ConflictError{Name: name, Expected: before, Present: o.Version}
}

// updateTree reads the settings of an organisation, applies fn and writes them with the description what in their
// history.
func (c *console) updateTree(ctx context.Context, o identifier.Organisation, what string, fn func(*configurer.Tree) error) error {
	t, v, err := c.readTree(ctx, o)
	if err != nil {
		return err
	}
	if err := fn(t); err != nil {
		return err
	}
	return c.writeTree(ctx, t, v, what)
}

func setUpSettingsGet(c *kingpin.CmdClause) func(context.Context, *console) error {
	organisation := c.Arg("organisation", "Name of the organisation.").Required().String()
	return func(ctx context.Context, con *console) error {
		path, err := parsePath(*organisation)
		if err != nil {
			return err
		}
		t, _, err := con.readTree(ctx, path.Organisation)
		if err != nil {
			return err
		}
		data, err := t.Encode()
		if err != nil {
			return err
		}
		fmt.Fprintln(con.out, string(data))
		return nil
	}
}

// flagName returns the name of a setting's flag: max-body-bytes for MaxBodyBytes.
func flagName(field string) string {
	var b strings.Builder
	for n, r := range field {
		if unicode.IsUpper(r) && n > 0 && !unicode.IsUpper(rune(field[n-1])) {
			b.WriteByte('-')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

func setUpSettingsSet(c *kingpin.CmdClause) func(context.Context, *console) error {
	level := c.Arg("level", "organisation[/service[/zone]]").Required().String()
	values := map[string]*string{}
	for _, f := range configurer.Fields {
		name := flagName(f.Name)
		variable := "TURMERICLIFT_SET_" + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
		values[f.Name] = c.Flag(name, f.Help+" "+f.Rule+".").Envar(variable).String()
	}
	return func(ctx context.Context, con *console) error {
		path, err := parsePath(*level)
		if err != nil {
			return err
		}
		var assignments []string
		for _, f := range configurer.Fields {
			if *values[f.Name] != "" {
				assignments = append(assignments, f.Name+"="+*values[f.Name])
			}
		}
		if len(assignments) == 0 && path.Service == "" {
			return &configurer.FieldError{Path: *level, Field: "setting", Value: "", Reason: "set at least one, such as --slots 2"}
		}
		return con.updateTree(ctx, path.Organisation, "set "+*level+" "+strings.Join(assignments, " "), func(t *configurer.Tree) error {
			return setValues(t, path, assignments)
		})
	}
}

// setValues applies assignments of the form Setting=value at a level and then checks the tree as a whole, because some
// values are valid only together. The level is created even without assignments. After an error t must not be written.
func setValues(t *configurer.Tree, path configurer.Path, assignments []string) error {
	t.CreateLevel(path)
	for _, assignment := range assignments {
		field, value, _ := strings.Cut(assignment, "=")
		if err := t.SetUnchecked(path, field, value); err != nil {
			return err
		}
	}
	return t.Check()
}

func setUpSettingsUnset(c *kingpin.CmdClause) func(context.Context, *console) error {
	level := c.Arg("level", "organisation[/service[/zone]]").Required().String()
	field := c.Arg("setting", "Name of the setting, such as Slots.").Required().String()
	return func(ctx context.Context, con *console) error {
		path, err := parsePath(*level)
		if err != nil {
			return err
		}
		return con.updateTree(ctx, path.Organisation, "unset "+*level+" "+*field, func(t *configurer.Tree) error {
			return t.Unset(path, *field)
		})
	}
}

func setUpSettingsExplain(c *kingpin.CmdClause) func(context.Context, *console) error {
	level := c.Arg("level", "organisation/service[/zone]").Required().String()
	return func(ctx context.Context, con *console) error {
		path, err := parsePath(*level)
		if err != nil {
			return err
		}
		t, _, err := con.readTree(ctx, path.Organisation)
		if err != nil {
			return err
		}
		explanations := t.Explain(path.Service, path.Zone)
		rows := make([][]string, 0, len(explanations))
		for _, e := range explanations {
			rows = append(rows, []string{e.Field, e.Value, e.Source})
		}
		return con.print(explanations, "Setting Value Source", rows)
	}
}

func setUpSettingsHistory(c *kingpin.CmdClause) func(context.Context, *console) error {
	organisation := c.Arg("organisation", "Name of the organisation.").Required().String()
	return func(ctx context.Context, con *console) error {
		t, _, err := con.readTree(ctx, identifier.Organisation(*organisation))
		if err != nil {
			return err
		}
		var rows [][]string
		for _, change := range t.History {
			rows = append(rows, []string{change.At.Format(time.RFC3339), change.Operator, change.What})
		}
		return con.print(t.History, "At Operator Change", rows)
	}
}

// readFile reads settings from a file that settings export has written.
func readFile(path string) (*configurer.Tree, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings file: %w", err)
	}
	return configurer.Decode(data)
}

func setUpSettingsImport(c *kingpin.CmdClause) func(context.Context, *console) error {
	file := c.Arg("file", "File that settings export has written.").Required().String()
	version := c.Flag("expect-version", "Version that the present settings must have; default: any.").String()
	return func(ctx context.Context, con *console) error {
		t, err := readFile(*file)
		if err != nil {
			return err
		}
		_, v, err := con.readTree(ctx, t.Organisation)
		if err != nil {
			return err
		}
		if *version != "" {
			expected, err := strconv.ParseUint(*version, 10, 64)
			if err != nil {
				return &configurer.FieldError{Path: "settings import", Field: "expect-version", Value: *version, Reason: "must be a whole number"}
			}
			v = identifier.Version(expected)
		}
		return con.writeTree(ctx, t, v, "import "+*file)
	}
}

func setUpSettingsDiff(c *kingpin.CmdClause) func(context.Context, *console) error {
	file := c.Arg("file", "File that settings export has written.").Required().String()
	return func(ctx context.Context, con *console) error {
		t, err := readFile(*file)
		if err != nil {
			return err
		}
		presentTree, _, err := con.readTree(ctx, t.Organisation)
		if err != nil {
			return err
		}
		differences := configurer.Diff(presentTree, t)
		var rows [][]string
		for _, d := range differences {
			rows = append(rows, []string{d.Path, d.Field, d.Before, d.After})
		}
		return con.print(differences, "Level Setting Present File", rows)
	}
}

// waitPollInterval is the time between two checks of a command that waits.
const waitPollInterval = 200 * time.Millisecond

func setUpSettingsWait(c *kingpin.CmdClause) func(context.Context, *console) error {
	organisation := c.Arg("organisation", "Name of the organisation.").Required().String()
	return func(ctx context.Context, con *console) error {
		_, v, err := con.readTree(ctx, identifier.Organisation(*organisation))
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, con.timeout)
		defer cancel()
		for {
			outdated, err := con.outdatedInstances(ctx, v)
			if err == nil && len(outdated) == 0 {
				fmt.Fprintf(con.out, "settings version %d is in force at all %d instances\n", v, len(con.instances))
				return nil
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("settings version %d is not in force at %s: %w", v, strings.Join(outdated, ", "), errNotReached)
			case <-time.After(waitPollInterval):
			}
		}
	}
}

// outdatedInstances returns the instances whose revision of the platform's objects is lower than v. If an instance does
// not answer it returns all instances and the error.
func (c *console) outdatedInstances(ctx context.Context, v identifier.Version) ([]string, error) {
	var outdated []string
	dumps, err := c.fetchDumps(ctx)
	if err != nil {
		return c.instances, err
	}
	for n, d := range dumps {
		if d.Revision < v {
			outdated = append(outdated, c.instances[n])
		}
	}
	return outdated, nil
}
