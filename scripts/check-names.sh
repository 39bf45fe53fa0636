#!/usr/bin/env bash
# The platform's names stand in platform/ and deploy/ alone: everything else
# speaks the product's words.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Deadline-Ms|X-Credential|X-Tenant|X-Expect-|X-Instance-Id|X-Token-Usage|X-Prompt-Prefix|X-Server-Seal|X-Not-Executed'
names+='|X-Request-Priority|X-Cache-Salt|X-Kv-|Kv-From|X-Pin-Ms|X-Length-Hint|X-Weight-Versions|Server-Limit|Server-Leaving|Store-Era|TOUCANWELL_SETTINGS'
names+='|log-(newest|append|read|trim|join|leave|commit|owners)|kv-(events|list|move|handle|pin)|hold-(take|drop)|/toucanwell/|keyed\.'
names+='|KvStoreAddr|KvCapacityTokens|KvTokenBytes|SessionAffinity|GapTargetMs|TargetLatencyMs|FencingToken|SwapMode|ColdRemainingMs|MaxSlots'
found=$(git ls-files -co --exclude-standard '*.go' '*.proto' '*.sh' |
  grep -Ev '^(platform|deploy)/|^scripts/check-names.sh$' |
  xargs grep -nE "$names" | grep -v 'github.com/toucanwell/toucanwell/' || true)
if [ -n "$found" ]; then
  printf 'names of the platform outside platform/ and deploy/:\n%s\n' "$found"
  exit 1
fi
