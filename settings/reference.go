package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Reference returns the reference page of all keys as Markdown. docs/settings.md is a copy of it.
func Reference() string {
	var page strings.Builder
	page.WriteString(`# Settings reference

This page is generated from the settings types: ` + "`currantctl settings reference`" + `.

Any level of the tree (deployment, region, failure domain, VM) may name any key; what it does not name it inherits.
`)
	writeSection(&page, reflect.TypeFor[Effective](), "")
	return page.String()
}

func writeSection(page *strings.Builder, t reflect.Type, prefix string) {
	var tables []field
	var leaves []field
	for _, f := range fieldsOf(t) {
		if isTable(f.typ) {
			tables = append(tables, f)
		} else {
			leaves = append(leaves, f)
		}
	}
	if len(leaves) > 0 {
		fmt.Fprintf(page, "\n## `[%s]`\n\n| key | type | default | allowed | meaning |\n| --- | --- | --- | --- | --- |\n", prefix)
		for _, f := range leaves {
			fmt.Fprintf(page, "| `%s` | %s | %s | %s | %s |\n", f.key, typeName(f.typ), defaultOf(f), allowedOf(f), f.tag.Get("doc"))
		}
	}
	for _, f := range tables {
		writeTable(page, f, prefix)
	}
}

func writeTable(page *strings.Builder, f field, prefix string) {
	path := join(prefix, f.key)
	t := f.typ
	if t.Kind() == reflect.Map {
		path += ".<name>"
		t = t.Elem()
	}
	if t.Kind() == reflect.Slice {
		path = "[" + path + "]"
		t = t.Elem()
	}
	writeSection(page, t, path)
}

func defaultOf(f field) string {
	if value, ok := f.tag.Lookup("default"); ok {
		return "`" + value + "`"
	}
	return ""
}

func allowedOf(f field) string {
	if words, ok := f.tag.Lookup("oneof"); ok {
		return strings.ReplaceAll(words, ",", ", ")
	}
	if low, ok := f.tag.Lookup("min"); ok {
		return low + " to " + f.tag.Get("max")
	}
	return ""
}
