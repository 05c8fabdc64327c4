// Package storedform checks in tests that stored rows and messages written by earlier builds can still be read and that
// their JSON form has not changed. Only tests import it.
package storedform

import (
	"bytes"
	"encoding/json"
	"flag"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Check decodes testdata/file, which an earlier build wrote with every field set, into a T. It fails if the file has a
// field that T does not have, or if the decoded value is encoded to other bytes. With the flag -update it first writes
// the file from a T with every field set.
func Check[T any](t *testing.T, file string) {
	t.Helper()
	if flag.Lookup("update").Value.String() == "true" {
		var value T
		fill(t, reflect.ValueOf(&value).Elem())
		encoded, err := json.Marshal(value)
		assert.NilError(t, err)
		golden.AssertBytes(t, append(encoded, '\n'), file)
	}
	stored := bytes.TrimSpace(golden.Get(t, file))
	decoder := json.NewDecoder(bytes.NewReader(stored))
	decoder.DisallowUnknownFields()
	var value T
	assert.NilError(t, decoder.Decode(&value), file)
	encoded, err := json.Marshal(value)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), string(stored), file)
}

// fill sets every exported field to a value that is not zero.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	if moment, ok := v.Addr().Interface().(*time.Time); ok {
		*moment = time.Unix(1_000_000, 0).UTC()
		return
	}
	switch v.Kind() {
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(3)
	case reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(3)
	case reflect.Float32, reflect.Float64:
		v.SetFloat(0.5)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(t, v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key)
		fill(t, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				fill(t, v.Field(i))
			}
		}
	case reflect.Array:
		for i := range v.Len() {
			fill(t, v.Index(i))
		}
	default:
		t.Fatalf("no value for a field of type %s", v.Type())
	}
}
