package model

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"hollyfork.example/hollyfork/pool"
)

// WithSetting returns settings with one of them changed, such as "retain-for=4s". The name of a setting is the name
// of its field in pool.Settings in lower case, with hyphens between the words.
func WithSetting(s pool.Settings, text string) (pool.Settings, error) {
	name, value, ok := strings.Cut(text, "=")
	if !ok {
		return s, settingError(fmt.Errorf("%q is not of the form name=value", text))
	}
	var names []string
	for _, f := range reflect.VisibleFields(reflect.TypeFor[pool.Settings]()) {
		if f.Anonymous {
			continue
		}
		field := hyphenated(f.Name)
		names = append(names, field)
		if field != name {
			continue
		}
		if err := setField(reflect.ValueOf(&s).Elem().FieldByIndex(f.Index), value); err != nil {
			return s, settingError(fmt.Errorf("%s: %w", name, err))
		}
		return s, nil
	}
	return s, settingError(fmt.Errorf("there is no setting %q; there are %s", name, strings.Join(names, ", ")))
}

func settingError(err error) error {
	return &Error{Op: "change a setting", Kind: KindSetting, Err: err}
}

func setField(field reflect.Value, text string) error {
	switch field.Interface().(type) {
	case time.Duration:
		value, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Errorf("%q is not a time such as 500ms or 10s", text)
		}
		field.SetInt(int64(value))
	case int:
		value, err := strconv.Atoi(text)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", text)
		}
		field.SetInt(int64(value))
	case float64:
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number", text)
		}
		field.SetFloat(value)
	case bool:
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("%q is neither true nor false", text)
		}
		field.SetBool(value)
	default:
		return fmt.Errorf("values of type %s can't be set", field.Type())
	}
	return nil
}

// hyphenated converts the name of a field into the name of its setting.
func hyphenated(name string) string {
	var b strings.Builder
	for i, c := range name {
		if c >= 'A' && c <= 'Z' && i > 0 {
			b.WriteByte('-')
		}
		b.WriteRune(c)
	}
	return strings.ToLower(b.String())
}
