// Package examples embeds the configurations of two example deployments.
package examples

import _ "embed"

// Marktlizenz configures a licence office: long reviews, and filings that run at most once.
//
//go:embed marktlizenz.toml
var Marktlizenz string

// Olaje configures a surf forecaster: fast alerts and lookups, and long briefings.
//
//go:embed olaje.toml
var Olaje string
