package stricttoml

import (
	"fmt"
	"reflect"
	"regexp"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// TypeError reports a setting with a value of the wrong type.
type TypeError struct {
	// Want and Got describe the expected and the actual type in terms of TOML, such as "a list of strings".
	Want, Got string
	// InElement is true if the value itself has the right type and Got describes an element of it.
	InElement bool
}

func (e *TypeError) Error() string {
	if e.InElement {
		return fmt.Sprintf("must be %s; it contains %s where something else belongs", e.Want, e.Got)
	}
	return fmt.Sprintf("must be %s, not %s", e.Want, e.Got)
}

// typeMismatchPatterns match the decoder's messages for values of the wrong type. The first group is the kind of
// the value, or the number that is out of range; the second is the Go type that it does not fit.
var typeMismatchPatterns = []*regexp.Regexp{
	regexp.MustCompile(`cannot decode TOML (.+?) into (?:struct field .* of type )?(.+)$`),
	regexp.MustCompile(`cannot store an? (array table|table) in an? (.+)$`),
	regexp.MustCompile(`integer value (\S+) cannot be stored in (.+)$`),
}

// typeErrorOf converts a decoder error to the name of the setting and a TypeError. ok is false if the error
// is not about a type.
func typeErrorOf(err *toml.DecodeError, v any) (name string, typeErr *TypeError, ok bool) {
	for _, pattern := range typeMismatchPatterns {
		match := pattern.FindStringSubmatch(err.Error())
		if match == nil {
			continue
		}
		name, settingType := resolveKey(reflect.TypeOf(v), err.Key())
		if name == "" {
			return "", nil, false
		}
		inElement := isCollection(settingType) && match[1] != "table" && match[1] != "array table" && match[2] != settingType.String()
		return name, &TypeError{Want: describeType(settingType, name), Got: describeFoundValue(match[1]), InElement: inElement}, true
	}
	return "", nil, false
}

// resolveKey follows the key of a setting through the type of the destination. It stops at a type without
// settings of its own or at an unknown part of the key, and returns the name and type of the setting reached.
func resolveKey(destination reflect.Type, key []string) (name string, found reflect.Type) {
	found = indirect(destination)
	for index, part := range key {
		container := found
		if container.Kind() == reflect.Slice {
			container = indirect(container.Elem())
		}
		switch container.Kind() {
		case reflect.Struct:
			field, ok := fieldOf(container, part)
			if !ok {
				return name, found
			}
			found = indirect(field.Type)
		case reflect.Map:
			found = indirect(container.Elem())
		default:
			return name, found
		}
		name = strings.Join(key[:index+1], ".")
	}
	return name, found
}

// fieldOf returns the struct field that a TOML name is decoded into.
func fieldOf(structure reflect.Type, name string) (reflect.StructField, bool) {
	return structure.FieldByNameFunc(func(fieldName string) bool {
		field, _ := structure.FieldByName(fieldName)
		tag, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if tag != "" {
			return tag == name
		}
		return strings.EqualFold(fieldName, name)
	})
}

// indirect removes all levels of pointers from a type.
func indirect(goType reflect.Type) reflect.Type {
	for goType.Kind() == reflect.Pointer {
		goType = goType.Elem()
	}
	return goType
}

func isCollection(goType reflect.Type) bool {
	return goType.Kind() == reflect.Slice || goType.Kind() == reflect.Struct || goType.Kind() == reflect.Map
}

// describeType describes the valid values of a setting with the given Go type and name.
func describeType(goType reflect.Type, name string) string {
	switch goType.Kind() {
	case reflect.String:
		return "a string in quotes"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Int8, reflect.Int16, reflect.Int32:
		limit := int64(1) << (goType.Bits() - 1)
		return fmt.Sprintf("a whole number from %d to %d", -limit, limit-1)
	case reflect.Uint, reflect.Uint64:
		return "a whole number of 0 or more"
	case reflect.Uint8, reflect.Uint16, reflect.Uint32:
		return fmt.Sprintf("a whole number from 0 to %d", uint64(1)<<goType.Bits()-1)
	case reflect.Slice:
		return describeList(indirect(goType.Elem()), name)
	case reflect.Map:
		return fmt.Sprintf("a table, [%s], of %s", name, describeElements(indirect(goType.Elem())))
	case reflect.Struct:
		return fmt.Sprintf("a table, [%s]", name)
	}
	return "a value of another type"
}

// describeList describes a list whose elements have the given Go type.
func describeList(element reflect.Type, name string) string {
	if element.Kind() == reflect.Struct || element.Kind() == reflect.Map {
		return fmt.Sprintf("a list of tables, [[%s]]", name)
	}
	return "a list of " + describeElements(element)
}

// describeElements describes the elements of a list or table, in the plural.
func describeElements(goType reflect.Type) string {
	switch goType.Kind() {
	case reflect.String:
		return "strings in quotes"
	case reflect.Float32, reflect.Float64:
		return "numbers"
	case reflect.Slice:
		return "lists"
	case reflect.Struct, reflect.Map:
		return "tables"
	case reflect.Bool:
		return "true or false"
	}
	return "whole numbers"
}

// describeFoundValue describes the kind of value that the decoder found, as the decoder names it.
func describeFoundValue(kind string) string {
	switch kind {
	case "array table":
		return "a list of tables"
	case "array":
		return "a list"
	case "inline table":
		return "a table"
	case "float":
		return "a fraction"
	case "integer":
		return "an integer"
	case "string", "boolean", "table":
		return "a " + kind
	}
	if strings.Contains(kind, "date") || strings.Contains(kind, "time") {
		return "a date or time"
	}
	return kind // kind is the number that is out of range.
}
