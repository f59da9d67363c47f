// Package settings reads and validates a daemon's JSON settings file. Validation
// errors give the path of the invalid field.
package settings

import (
	"encoding/json"
	"errors"
	"io"
	"os"
	"reflect"
	"strings"
	"unicode"

	"github.com/ansel1/merry/v2"
	"github.com/go-playground/validator/v10"
	"github.com/go-viper/mapstructure/v2"
)

// MaxFileBytes limits the size of a settings file.
const MaxFileBytes = 1 << 20

// ErrInvalid is wrapped by every error about a settings file's content.
var ErrInvalid = merry.Sentinel("settings: invalid")

// Load reads the file at path into out, a pointer to a struct that contains the
// defaults. Its fields have json and validate tags; durations in the file are
// strings such as "250ms".
func Load(path string, out any) error {
	f, err := os.Open(path)
	if err != nil {
		return merry.Prepend(err, "settings")
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return merry.Prepend(err, "settings: "+path)
	}
	if len(raw) > MaxFileBytes {
		return merry.Prependf(ErrInvalid, "%s: larger than %d bytes", path, MaxFileBytes)
	}
	if err := Decode(raw, out); err != nil {
		return merry.Prepend(err, path)
	}
	return nil
}

// Decode decodes and validates the content of a settings file, as Load does.
func Decode(raw []byte, out any) error {
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return merry.Prepend(ErrInvalid, err.Error())
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:      out,
		TagName:     "json",
		ErrorUnused: true,
		// The structs of the daemons embed a struct with the common fields.
		Squash:    true,
		MatchName: func(key, field string) bool { return key == field },
		DecodeHook: mapstructure.ComposeDecodeHookFunc(
			mapstructure.StringToTimeDurationHookFunc(),
			mapstructure.TextUnmarshallerHookFunc(),
		),
	})
	if err != nil {
		return merry.Prepend(err, "settings")
	}
	if err := decoder.Decode(fields); err != nil {
		return merry.Prepend(ErrInvalid, err.Error())
	}
	return validate(out)
}

func validate(out any) error {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	err := v.Struct(out)
	if err == nil {
		return nil
	}
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return merry.Prepend(ErrInvalid, err.Error())
	}
	lines := make([]string, 0, len(fieldErrors))
	for _, field := range fieldErrors {
		lines = append(lines, describeFieldError(field))
	}
	return merry.Prepend(ErrInvalid, strings.Join(lines, "; "))
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func describeFieldError(e validator.FieldError) string {
	_, path, nested := strings.Cut(e.Namespace(), ".")
	if !nested {
		path = e.Field()
	}
	path = removeEmbedded(path)
	rule := e.Tag()
	if e.Param() != "" {
		rule += "=" + e.Param()
	}
	return path + ": must satisfy " + rule
}

// removeEmbedded removes the Go names of embedded structs from a path, because
// they don't occur in the settings file.
func removeEmbedded(path string) string {
	var parts []string
	for _, part := range strings.Split(path, ".") {
		if part != "" && !unicode.IsUpper(rune(part[0])) {
			parts = append(parts, part)
		}
	}
	return strings.Join(parts, ".")
}
