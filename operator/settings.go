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

// parsePath reads a level of the tree: organisation[/service[/zone]].
func parsePath(s string) (configurer.Path, error) {
	parts := strings.Split(s, "/")
	if len(parts) > 3 {
		return configurer.Path{}, &configurer.FieldError{Path: s, Field: "level", Value: s, Rule: "organisation[/service[/zone]]"}
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

// readTree returns the settings of an organisation; those of one that has none yet
// are empty and have version 0.
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

// writeTree writes the settings of an organisation, if nobody else has since they
// were read.
func (c *console) writeTree(ctx context.Context, t *configurer.Tree, v identifier.Version, what string) error {
	t.Note(configurer.Change{At: c.now().UTC().Truncate(time.Second), Operator: c.operator, What: what})
	if err := t.Check(); err != nil {
		return err
	}
	data, err := t.Encode()
	if err != nil {
		return err
	}
	return c.write(ctx, controller.SettingsName(t.Organisation), v, data)
}

// write writes an object; after a lost answer it reads back what became of it.
func (c *console) write(ctx context.Context, name string, v identifier.Version, data []byte) error {
	written, err := c.store().Write(ctx, name, v, data)
	if errors.Is(err, storer.ErrUnknown) {
		written, err = c.readBack(ctx, name, v, data)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(c.out, "written as version %d\n", written)
	return nil
}

func (c *console) readBack(ctx context.Context, name string, before identifier.Version, data []byte) (identifier.Version, error) {
	o, err := c.store().Read(ctx, name)
	switch {
	case err != nil && !errors.Is(err, storer.ErrNotFound):
		return 0, fmt.Errorf("the outcome of the write is unknown, read it back before you try again: %w", err)
	case string(o.Data) == string(data):
		return o.Version, nil
	case o.Version == before:
		return 0, fmt.Errorf("write %s: %w; it had not taken effect when it was read back", name, storer.ErrUnavailable)
	}
	return 0, &storer.ConflictError{Name: name, Expected: before, Present: o.Version}
}

// change reads a tree, changes it and writes it.
func (c *console) change(ctx context.Context, o identifier.Organisation, what string, fn func(*configurer.Tree) error) error {
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

// flagName returns the flag of a setting: MaxBodyBytes is --max-body-bytes.
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
		var named []string
		for _, f := range configurer.Fields {
			if *values[f.Name] != "" {
				named = append(named, f.Name+"="+*values[f.Name])
			}
		}
		if len(named) == 0 && path.Service == "" {
			return &configurer.FieldError{Path: *level, Field: "setting", Value: "", Rule: "name at least one, as --slots 2"}
		}
		return con.change(ctx, path.Organisation, "set "+*level+" "+strings.Join(named, " "), func(t *configurer.Tree) error {
			return setAll(t, path, named)
		})
	}
}

// setAll names settings at a level, all or none: the tree is checked as a whole. A
// service that names nothing is created all the same.
func setAll(t *configurer.Tree, path configurer.Path, named []string) error {
	t.Touch(path)
	for _, assignment := range named {
		field, value, _ := strings.Cut(assignment, "=")
		if err := t.SetUnchecked(path, field, value); err != nil {
			return err
		}
	}
	return t.Check()
}

func setUpSettingsUnset(c *kingpin.CmdClause) func(context.Context, *console) error {
	level := c.Arg("level", "organisation[/service[/zone]]").Required().String()
	field := c.Arg("setting", "Name of the setting, as Slots.").Required().String()
	return func(ctx context.Context, con *console) error {
		path, err := parsePath(*level)
		if err != nil {
			return err
		}
		return con.change(ctx, path.Organisation, "unset "+*level+" "+*field, func(t *configurer.Tree) error {
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

func readFile(path string) (*configurer.Tree, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings file: %w", err)
	}
	return configurer.Decode(data)
}

func setUpSettingsImport(c *kingpin.CmdClause) func(context.Context, *console) error {
	file := c.Arg("file", "File that settings export has written.").Required().String()
	version := c.Flag("expect-version", "Version that the settings must have; by default the present one.").String()
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
				return &configurer.FieldError{Path: "settings import", Field: "expect-version", Value: *version, Rule: "a number"}
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
		present, _, err := con.readTree(ctx, t.Organisation)
		if err != nil {
			return err
		}
		differences := configurer.Diff(present, t)
		var rows [][]string
		for _, d := range differences {
			rows = append(rows, []string{d.Path, d.Field, d.Before, d.After})
		}
		return con.print(differences, "Level Setting Present File", rows)
	}
}

// waitEvery is the time between two questions of a command that waits.
const waitEvery = 200 * time.Millisecond

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
			behind, err := con.behind(ctx, v)
			if err == nil && len(behind) == 0 {
				fmt.Fprintf(con.out, "version %d is in force at all %d instances\n", v, len(con.instances))
				return nil
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("version %d is not in force at %s: %w", v, strings.Join(behind, ", "), errNotYet)
			case <-time.After(waitEvery):
			}
		}
	}
}

// behind returns the instances that do not have a revision yet.
func (c *console) behind(ctx context.Context, v identifier.Version) ([]string, error) {
	var behind []string
	dumps, err := c.dumps(ctx)
	if err != nil {
		return c.instances, err
	}
	for n, d := range dumps {
		if d.Revision < v {
			behind = append(behind, c.instances[n])
		}
	}
	return behind, nil
}
