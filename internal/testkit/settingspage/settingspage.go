// Package settingspage compares the operators' settings page with the settings
// structs, so that tests detect a change to only one of them.
package settingspage

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"
)

// Row is the entry of one setting in the page's table.
type Row struct {
	// Path is the setting's path in the settings file, for example
	// listen.callers.
	Path string
	// Default is empty if the setting is required or its default is the zero
	// value.
	Default string
}

// Rows returns the settings of a struct whose fields contain the defaults.
func Rows(defaults any) []Row { return appendRows(nil, "", reflect.ValueOf(defaults)) }

func appendRows(dst []Row, prefix string, v reflect.Value) []Row {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		switch {
		case field.Anonymous:
			dst = appendRows(dst, prefix, v.Field(i))
		case field.Type.Kind() == reflect.Struct:
			dst = appendRows(dst, prefix+name+".", v.Field(i))
		case field.Type.Kind() == reflect.Pointer && field.Type.Elem().Kind() == reflect.Struct:
			// An optional object has no defaults.
			dst = appendRows(dst, prefix+name+".", reflect.Zero(field.Type.Elem()))
		default:
			dst = append(dst, Row{Path: prefix + name, Default: formatDefault(v.Field(i))})
		}
	}
	return dst
}

func formatDefault(v reflect.Value) string {
	if v.IsZero() {
		return ""
	}
	if d, ok := v.Interface().(time.Duration); ok {
		return formatDuration(d)
	}
	return fmt.Sprint(v.Interface())
}

// formatDuration formats a duration as it is written in settings files, for
// example 1m instead of 1m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// Missing returns the table rows that the page lacks or has with a different
// default.
func Missing(page string, want []Row) ([]string, error) {
	raw, err := os.ReadFile(page)
	if err != nil {
		return nil, err
	}
	var missing []string
	for _, r := range want {
		line := fmt.Sprintf("| `%s` | %s |", r.Path, r.Default)
		if !strings.Contains(string(raw), line) {
			missing = append(missing, line)
		}
	}
	return missing, nil
}
