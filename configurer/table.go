package configurer

import "strings"

// Table returns the table of settings as a Markdown table; flag gives the name of a
// setting's flag.
func Table(flag func(field string) string) string {
	var b strings.Builder
	b.WriteString("| Setting | Flag | Default | Rule | Meaning |\n|---|---|---|---|---|\n")
	for _, f := range Fields {
		b.WriteString("| " + strings.Join([]string{f.Name, "`--" + flag(f.Name) + "`", f.Default, f.Rule, f.Help}, " | ") + " |\n")
	}
	return b.String()
}
