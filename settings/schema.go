package settings

import (
	"encoding"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"
)

// field describes one key of a settings struct.
type field struct {
	key   string
	typ   reflect.Type
	index int
	tag   reflect.StructTag
	// defaultValue, minValue and maxValue hold the parsed tags default, min and max. A value is invalid if its tag is absent.
	defaultValue, minValue, maxValue reflect.Value
}

var (
	textUnmarshaler  = reflect.TypeFor[encoding.TextUnmarshaler]()
	tableNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_/+-]*$`)
)

// fieldCache maps each settings struct type to its fields. Parsing struct tags is slow, and every daemon resolves the tree
// for each of about ten thousand versions a day.
var fieldCache sync.Map

// fieldsOf returns the fields of a settings struct. The slice is shared and must not be changed.
func fieldsOf(t reflect.Type) []field {
	if cached, ok := fieldCache.Load(t); ok {
		return cached.([]field)
	}
	fields := make([]field, t.NumField())
	for i := range fields {
		f := t.Field(i)
		key, _, _ := strings.Cut(f.Tag.Get("toml"), ",")
		fields[i] = field{
			key: key, typ: f.Type, index: i, tag: f.Tag,
			defaultValue: parseTag(f, "default"), minValue: parseTag(f, "min"), maxValue: parseTag(f, "max"),
		}
	}
	fieldCache.Store(t, fields)
	return fields
}

// parseTag converts a struct tag to the field's type. It returns an invalid value if the tag is absent.
func parseTag(f reflect.StructField, name string) reflect.Value {
	text, ok := f.Tag.Lookup(name)
	if !ok {
		return reflect.Value{}
	}
	return mustParseTag(f.Type, text)
}

func findField(t reflect.Type, key string) (field, bool) {
	for _, f := range fieldsOf(t) {
		if f.key == key {
			return f, true
		}
	}
	return field{}, false
}

// isTable reports whether values of t are TOML tables.
func isTable(t reflect.Type) bool {
	return t.Kind() == reflect.Struct || t.Kind() == reflect.Map
}

// newWithDefaults returns a settable value of t in which the defaults from the struct tags are set.
func newWithDefaults(t reflect.Type) reflect.Value {
	v := reflect.New(t).Elem()
	if t.Kind() == reflect.Map {
		v.Set(reflect.MakeMap(t))
	}
	if t.Kind() != reflect.Struct {
		return v
	}
	for _, f := range fieldsOf(t) {
		if isTable(f.typ) {
			v.Field(f.index).Set(newWithDefaults(f.typ))
			continue
		}
		if f.defaultValue.IsValid() {
			v.Field(f.index).Set(f.defaultValue)
		}
	}
	return v
}

// mustParseTag converts the text of a struct tag to t. It panics on an invalid tag, which is a programming error.
func mustParseTag(t reflect.Type, text string) reflect.Value {
	v := reflect.New(t)
	var err error
	if u, ok := v.Interface().(encoding.TextUnmarshaler); ok {
		err = u.UnmarshalText([]byte(text))
	} else if t.Kind() == reflect.String {
		v.Elem().SetString(text)
	} else {
		_, err = fmt.Sscan(text, v.Interface())
	}
	if err != nil {
		panic(fmt.Sprintf("struct tag %q: %v", text, err))
	}
	return v.Elem()
}

// decodeLeaf converts a decoded TOML value to t and checks it against the field's tags.
func decodeLeaf(f field, raw any) (reflect.Value, error) {
	v, err := convert(f.typ, raw)
	if err != nil {
		return v, err
	}
	return v, checkRange(f, v)
}

// convert converts a decoded TOML value to t.
func convert(t reflect.Type, raw any) (reflect.Value, error) {
	v := reflect.New(t).Elem()
	if reflect.PointerTo(t).Implements(textUnmarshaler) {
		text, ok := raw.(string)
		if !ok {
			return v, fmt.Errorf("is %s, want a string with a unit", tomlType(raw))
		}
		return v, v.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text))
	}
	switch t.Kind() {
	case reflect.String:
		if text, ok := raw.(string); ok {
			v.SetString(text)
			return v, nil
		}
	case reflect.Int, reflect.Int64:
		if n, ok := raw.(int64); ok {
			v.SetInt(n)
			return v, nil
		}
	case reflect.Bool:
		if b, ok := raw.(bool); ok {
			v.SetBool(b)
			return v, nil
		}
	case reflect.Slice:
		if list, ok := raw.([]any); ok {
			return convertList(t, list)
		}
	case reflect.Struct:
		if table, ok := raw.(map[string]any); ok {
			return convertStruct(t, table)
		}
	}
	return v, fmt.Errorf("is %s, want %s", tomlType(raw), typeName(t))
}

func convertList(t reflect.Type, list []any) (reflect.Value, error) {
	v := reflect.MakeSlice(t, 0, len(list))
	for i, raw := range list {
		element, err := convert(t.Elem(), raw)
		if err != nil {
			return v, fmt.Errorf("element %d %w", i, err)
		}
		v = reflect.Append(v, element)
	}
	return v, nil
}

func convertStruct(t reflect.Type, table map[string]any) (reflect.Value, error) {
	v := newWithDefaults(t)
	for key, raw := range table {
		f, ok := findField(t, key)
		if !ok {
			return v, fmt.Errorf("has the unknown key %s; allowed are %s", key, strings.Join(keysOf(t), ", "))
		}
		element, err := decodeLeaf(f, raw)
		if err != nil {
			return v, fmt.Errorf("key %s %w", key, err)
		}
		v.Field(f.index).Set(element)
	}
	return v, nil
}

// checkRange checks a value against the tags oneof, min and max.
func checkRange(f field, v reflect.Value) error {
	if words, ok := f.tag.Lookup("oneof"); ok {
		allowed := strings.Split(words, ",")
		if !slices.Contains(allowed, v.String()) {
			return fmt.Errorf("%q is none of %s", v.String(), strings.Join(allowed, ", "))
		}
	}
	if !f.minValue.IsValid() || !f.maxValue.IsValid() {
		return nil
	}
	if v.Int() < f.minValue.Int() || v.Int() > f.maxValue.Int() {
		return fmt.Errorf("%v is outside %s to %s", v.Interface(), f.tag.Get("min"), f.tag.Get("max"))
	}
	return nil
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for _, f := range fieldsOf(t) {
		keys = append(keys, f.key)
	}
	slices.Sort(keys)
	return keys
}

// tomlType describes the type of a decoded TOML value for messages.
func tomlType(raw any) string {
	switch raw.(type) {
	case string:
		return "a string"
	case int64:
		return "an integer"
	case float64:
		return "a float"
	case bool:
		return "a boolean"
	case []any:
		return "an array"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

// typeName describes a settings type for messages and the reference page.
func typeName(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[Duration]():
		return "time span"
	case t == reflect.TypeFor[Bytes]():
		return "size"
	case t == reflect.TypeFor[BitRate]():
		return "bit rate"
	}
	switch t.Kind() {
	case reflect.String:
		return "string"
	case reflect.Int, reflect.Int64:
		return "integer"
	case reflect.Bool:
		return "boolean"
	case reflect.Slice:
		return "array of " + typeName(t.Elem())
	default:
		return "table"
	}
}

// MaxStartPermit returns the longest start permit that settings allow.
func MaxStartPermit() time.Duration {
	f, _ := findField(reflect.TypeFor[Sched](), "start_permit")
	return f.maxValue.Interface().(Duration).D()
}
