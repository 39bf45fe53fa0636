// Package tomltext decodes TOML strictly. Unknown keys, wrong types and syntax
// errors are reported with file, line and key.
package tomltext

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Decode decodes text into v. Errors refer to the text by name.
func Decode(name, text string, v any) error {
	dec := toml.NewDecoder(strings.NewReader(text))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil {
		return nil
	}
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return unknownKeys(name, missing)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, column := decode.Position()
		return errors.Newf("%s:%d:%d: %s%s", name, row, column, keyPrefix(decode.Key()), decode.Error())
	}
	return errors.Wrap(err, name)
}

func unknownKeys(name string, missing *toml.StrictMissingError) error {
	var lines []string
	for _, e := range missing.Errors {
		row, column := e.Position()
		lines = append(lines, fmt.Sprintf("%s:%d:%d: unknown key %s", name, row, column, strings.Join(e.Key(), ".")))
	}
	return errors.Newf("%s", strings.Join(lines, "\n"))
}

func keyPrefix(key toml.Key) string {
	if len(key) == 0 {
		return ""
	}
	return strings.Join(key, ".") + ": "
}
