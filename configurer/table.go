package configurer

import "strings"

// MarkdownTable returns the description of all settings as a Markdown table. flagName must return the name of
// the command-line flag of a setting.
func MarkdownTable(flagName func(field string) string) string {
	var b strings.Builder
	b.WriteString("| Setting | Flag | Default | Rule | Meaning |\n|---|---|---|---|---|\n")
	for _, f := range Fields {
		b.WriteString("| " + strings.Join([]string{f.Name, "`--" + flagName(f.Name) + "`", f.Default, f.Rule, f.Help}, " | ") + " |\n")
	}
	return b.String()
}
