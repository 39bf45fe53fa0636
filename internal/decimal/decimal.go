// Package decimal parses the numbers of header fields.
package decimal

import (
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
)

// number matches a non-negative decimal number, with or without a fraction and an exponent. It matches
// no infinity and no hexadecimal number.
var number = regexp.MustCompile(`^([0-9]{1,40}(\.[0-9]{0,40})?|\.[0-9]{1,40})([eE][+-]?[0-9]{1,3})?$`)

// Parse returns a non-negative finite decimal number. Senders print as many digits as they like, so that
// 1.6 may arrive as 1.6000000000000001.
func Parse(text string) (float64, error) {
	if !number.MatchString(text) {
		return 0, errors.Newf("%.40q is no decimal number", text)
	}
	return strconv.ParseFloat(text, 64)
}
