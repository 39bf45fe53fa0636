#!/usr/bin/env bash
# Runs one test again and again for a while, beside busy processes, and counts how it ends. The
# output and the processes' logs of failed runs are kept in .bin/repeat. Tests with real processes
# build the daemon from the working tree, which must not change meanwhile.
#
#   scripts/repeat-test.sh [-r] [-j JOBS] [-l LOOPS] [-s SECONDS] PACKAGE TEST [FLAGS OF THE TEST...]
#
# -r builds with the race detector, -j runs that many processes of the test at the same time, -l
# starts that many busy loops.
set -euo pipefail
cd "$(dirname "$0")/.."

race="" jobs=4 loops=0 seconds=300
while getopts "rj:l:s:" option; do
  case $option in
    r) race=-race ;;
    j) jobs=$OPTARG ;;
    l) loops=$OPTARG ;;
    s) seconds=$OPTARG ;;
    *) exit 2 ;;
  esac
done
shift $((OPTIND - 1))
if [ $# -lt 2 ]; then
  sed -n '/^#   scripts/s/^# *//p' "$0" >&2
  exit 2
fi
package=$1 test=$2
shift 2

out=$PWD/.bin/repeat/$test
rm -rf "$out"
mkdir -p "$out"
go test $race -c -o "$out/test" "$package"
dir=$(go list -f '{{.Dir}}' "$package")
if ! (cd "$dir" && "$out/test" -test.list "^$test\$") | grep -qx "$test"; then
  echo "$package has no test $test" >&2
  exit 2
fi

end=$((SECONDS + seconds))
busy() { while [ $SECONDS -lt $end ]; do :; done; }
repeat() {
  local worker=$1 run=0 logs
  shift
  while [ $SECONDS -lt $end ]; do
    run=$((run + 1))
    logs=$out/$worker-$run
    mkdir "$logs"
    if (cd "$dir" && TOUCANWELL_TEST_LOGS=$logs "$out/test" -test.run "^$test\$" -test.v -test.timeout 30m "$@" >"$logs/output" 2>&1); then
      if grep -q -- "^--- SKIP: $test " "$logs/output"; then echo skipped; else echo passed; fi >>"$out/results"
      rm -rf "$logs"
    else
      echo failed >>"$out/results"
      echo "failed: $logs" >&2
    fi
  done
}
for _ in $(seq "$loops"); do busy & done
for worker in $(seq "$jobs"); do repeat "$worker" "$@" & done
wait
sort "$out/results" | uniq -c
[ "$(sort -u "$out/results")" = passed ]
