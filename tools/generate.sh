#!/usr/bin/env bash
# Writes the generated code again. Needs nothing but Go and its module proxy.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
cd "$root/tools"
go build -o "$bin/" github.com/ogen-go/ogen/cmd/ogen github.com/bufbuild/buf/cmd/buf \
  google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
export PATH="$bin:$PATH"
cd "$root/api/peer/v1"
buf generate
for api in caller admin; do
  cd "$root/api/$api"
  ogen --target oas --package oas --clean openapi.yaml
done
