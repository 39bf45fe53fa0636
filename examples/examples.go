// Package examples holds the configurations of two deployments.
package examples

import _ "embed"

// Marktlizenz is a licence office: long reviews, filings that run at most once.
//
//go:embed marktlizenz.toml
var Marktlizenz string

// Olaje is a surf forecaster: fast alerts and lookups, long briefings.
//
//go:embed olaje.toml
var Olaje string
