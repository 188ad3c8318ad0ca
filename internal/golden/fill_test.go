package golden_test

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/RoaringBitmap/roaring/v2"
)

// sliceLength is the length of filled slices.
const sliceLength = 2

// filler sets fields to different values. A value depends on the order of the fields and not on their names.
type filler struct{ count int64 }

// filled returns a value of a type in which all fields that are encoded as JSON are set.
func filled[T any]() T {
	var value T
	new(filler).fill(reflect.ValueOf(&value).Elem())
	return value
}

func (f *filler) next() int64 {
	f.count++
	return f.count
}

// fillSpecialType sets a value whose type has its own JSON encoding, and reports whether it has one.
func (f *filler) fillSpecialType(v reflect.Value) bool {
	switch v.Interface().(type) {
	case json.RawMessage:
		v.SetBytes(fmt.Appendf(nil, `{"n":%d}`, f.next()))
	case *roaring.Bitmap:
		n := uint32(f.next())
		v.Set(reflect.ValueOf(roaring.BitmapOf(n, n+1, n+100)))
	case time.Duration:
		v.SetInt(f.next() * int64(time.Millisecond))
	case time.Time:
		v.Set(reflect.ValueOf(time.Date(2026, 9, 21, 14, 0, int(f.next()%60), 0, time.UTC)))
	default:
		return false
	}
	return true
}

func (f *filler) fill(v reflect.Value) {
	if f.fillSpecialType(v) {
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprintf("text-%d", f.next()))
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(f.next())
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(f.next()))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.25)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("any-%d", f.next())))
	default:
		f.fillComposite(v)
	}
}

func (f *filler) fillComposite(v reflect.Value) {
	switch v.Kind() {
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), sliceLength, sliceLength))
		f.fillElements(v)
	case reflect.Array:
		f.fillElements(v)
	case reflect.Map:
		f.fillMap(v)
	case reflect.Struct:
		f.fillStruct(v)
	default:
		panic("no value for " + v.Type().String())
	}
}

func (f *filler) fillElements(v reflect.Value) {
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

func (f *filler) fillMap(v reflect.Value) {
	key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
	f.fill(key)
	f.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f *filler) fillStruct(v reflect.Value) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		if !field.IsExported() || strings.HasPrefix(field.Tag.Get("json"), "-") {
			continue
		}
		f.fill(v.Field(i))
	}
}
