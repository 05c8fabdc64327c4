package settings

import (
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Problem is one reason why settings are rejected.
type Problem struct {
	// File is the path that was passed to the parser, or the path of the level's file in the tree.
	File string `json:"file"`
	// Line is the 1-based line number; 0 if the problem concerns the whole file.
	Line int `json:"line,omitempty"`
	// Key is the dotted key; empty for syntax errors.
	Key string `json:"key,omitempty"`
	// Message describes the problem and the allowed values.
	Message string `json:"message"`
}

// String returns "file:line: key: message", without the parts that are not set.
func (p Problem) String() string {
	text := p.File
	if p.Line > 0 {
		text += fmt.Sprintf(":%d", p.Line)
	}
	if p.Key != "" {
		text += ": " + p.Key
	}
	return text + ": " + p.Message
}

// Problems is the error returned for invalid settings.
type Problems []Problem

// Error lists all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// leaf is one value that a file sets. Its value is invalid for a table, which is recorded only for its line.
type leaf struct {
	value reflect.Value
	line  int
}

// parser checks one TOML file against a struct type and collects all problems.
type parser struct {
	file     string
	lines    map[string]int
	leaves   map[string]leaf
	problems []Problem
}

// parseFile returns the values that source sets, by dotted key, and all problems in it. t is a settings struct.
func parseFile(file string, source []byte, t reflect.Type) (map[string]leaf, []Problem) {
	var table map[string]any
	if err := toml.Unmarshal(source, &table); err != nil {
		return nil, []Problem{syntaxProblem(file, err)}
	}
	p := &parser{file: file, lines: keyLines(source), leaves: map[string]leaf{}}
	p.table("", table, t)
	slices.SortFunc(p.problems, func(a, b Problem) int { return a.Line - b.Line })
	return p.leaves, p.problems
}

func syntaxProblem(file string, err error) Problem {
	var decode *toml.DecodeError
	if !errors.As(err, &decode) {
		return Problem{File: file, Message: err.Error()}
	}
	line, _ := decode.Position()
	return Problem{File: file, Line: line, Key: strings.Join(decode.Key(), "."), Message: decode.Error()}
}

func (p *parser) table(prefix string, table map[string]any, t reflect.Type) {
	for _, key := range slices.Sorted(maps.Keys(table)) {
		path := join(prefix, key)
		if t.Kind() == reflect.Map {
			p.mapEntry(path, key, table[key], t.Elem())
			continue
		}
		f, ok := findField(t, key)
		if !ok {
			p.fail(path, "unknown key; allowed are %s", strings.Join(keysOf(t), ", "))
			continue
		}
		p.value(path, f, table[key])
	}
}

func (p *parser) mapEntry(path, name string, raw any, t reflect.Type) {
	if !tableNamePattern.MatchString(name) {
		p.fail(path, "%q is no name; allowed are letters, digits, _, /, + and -, starting with a letter or digit", name)
		return
	}
	p.value(path, field{typ: t}, raw)
}

func (p *parser) value(path string, f field, raw any) {
	if isTable(f.typ) {
		table, ok := raw.(map[string]any)
		if !ok {
			p.fail(path, "is %s, want a table", tomlType(raw))
			return
		}
		p.leaves[path] = leaf{line: p.lines[path]}
		p.table(path, table, f.typ)
		return
	}
	v, err := decodeLeaf(f, raw)
	if err != nil {
		p.fail(path, "%v", err)
		return
	}
	p.leaves[path] = leaf{value: v, line: p.lines[path]}
}

func (p *parser) fail(path, format string, args ...any) {
	p.problems = append(p.problems, Problem{File: p.file, Line: p.line(path), Key: path, Message: fmt.Sprintf(format, args...)})
}

// line returns the line of path or, if path has none, of the innermost table that contains it.
func (p *parser) line(path string) int {
	for path != "" {
		if line, ok := p.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndex(path, "."), 0)]
	}
	return 0
}

// keyLines returns the first line of each dotted key and table.
func keyLines(source []byte) map[string]int {
	lines := map[string]int{}
	var p unstable.Parser
	p.Reset(source)
	prefix := ""
	for p.NextExpression() {
		node := p.Expression()
		path, line := nodeKey(&p, node)
		switch node.Kind {
		case unstable.Table, unstable.ArrayTable:
			prefix = path
		case unstable.KeyValue:
			path = join(prefix, path)
		default:
			continue
		}
		if _, ok := lines[path]; !ok {
			lines[path] = line
		}
	}
	return lines
}

// nodeKey returns the dotted key of a TOML expression and the line on which it starts.
func nodeKey(p *unstable.Parser, node *unstable.Node) (path string, line int) {
	for keys := node.Key(); keys.Next(); {
		part := keys.Node()
		path = join(path, string(part.Data))
		if line == 0 {
			line = p.Shape(part.Raw).Start.Line
		}
	}
	return path, line
}

func join(prefix, key string) string {
	if prefix == "" {
		return key
	}
	return prefix + "." + key
}

// apply sets the values of one file on target, a settings struct. Map entries are created with their defaults on first use.
func apply(target reflect.Value, leaves map[string]leaf) {
	for _, path := range slices.Sorted(maps.Keys(leaves)) {
		set(target, path, leaves[path].value)
	}
}

// set assigns the value at a dotted path. An invalid value stands for a table, whose map entries are created.
func set(target reflect.Value, path string, value reflect.Value) {
	key, rest, more := strings.Cut(path, ".")
	if target.Kind() == reflect.Map {
		setEntry(target, key, rest, more, value)
		return
	}
	f, _ := findField(target.Type(), key)
	child := target.Field(f.index)
	switch {
	case more:
		set(child, rest, value)
	case value.IsValid():
		child.Set(value)
	}
}

// setEntry assigns a value in a map entry. Map values cannot be changed in place, so the entry is copied and replaced.
func setEntry(target reflect.Value, name, rest string, more bool, value reflect.Value) {
	entry := newWithDefaults(target.Type().Elem())
	if old := target.MapIndex(reflect.ValueOf(name)); old.IsValid() {
		entry.Set(old)
	}
	switch {
	case more:
		set(entry, rest, value)
	case value.IsValid():
		entry.Set(value)
	}
	target.SetMapIndex(reflect.ValueOf(name), entry)
}
