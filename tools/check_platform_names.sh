#!/usr/bin/env bash
# Fails where a name of the users' platform stands outside platform/: header names, call paths and
# fields of its messages. Inside the product they have the product's own names. Tests, which play the
# platform, and deploy/, which the platform reads, are left out.
set -euo pipefail
cd "$(dirname "$0")/.."
names=(
    Request-Id Request-Deadline Credential Tenant Token-Usage Prompt-Prefix Expect-Instance
    Expect-Version Cache-Salt Kv-Fetch Kv-Save Kv-Until Kv-From Kv-Backup Pin-Ms Response-Seal
    Not-Executed Server-Limit Server-Brittle Server-Leaving Store-Era Instance-Id Length-Hint Wait-Ms /api/ kv-txn kv-watch kv-range kv-lease kv-keep
    private-key path-prefix next-token expected-revision fencing-token traffic-split api-keys
    target-latency-ms gap_aim_ms max-attempts kv-cache-tokens kv-store-address op/config op/version 'servers/'
)
pattern=$(printf '%s|' "${names[@]}")
# The product's own interface has an X-Request-Id of its own.
if grep -rnE --include='*.cpp' --include='*.hpp' --include='*.inc' \
    -e "(^|[^A-Za-z-])(${pattern%|})([^A-Za-z]|\$)" src include | grep -v '^src/wire/'; then
    echo "names of the platform outside platform/: above"
    exit 1
fi
echo "platform names: only in platform/"
