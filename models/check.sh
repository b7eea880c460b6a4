#!/usr/bin/env bash
# Checks every model with spin, and every variant with one mechanism removed. A model must
# hold and a variant must fail, which shows that the check detects the removal.
# Processes may end in any state (-E): only assertions are checked.
# Prints a line for each check, with the number of states searched.
set -euo pipefail
cd "$(dirname "$0")"

if ! command -v spin >/dev/null; then
	apt-get update -qq && apt-get install -y -qq spin gcc >/dev/null
fi
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
passed=0
failed=0

# check MODEL VERDICT [DEFINE]: searches all states of a model, or of the variant DEFINE.
check() {
	local model=$1 want=$2 define=${3:-}
	local dir=$work/$model-$define
	mkdir -p "$dir"
	cp "$model.pml" "$dir"
	local out
	out=$(cd "$dir" &&
		spin -a ${define:+-D"$define"} "$model.pml" >/dev/null &&
		gcc -O2 -DSAFETY -DMEMLIM=2048 -o pan pan.c 2>/dev/null &&
		./pan -E -m200000 -w22)
	local got=holds
	grep -q "errors: 0" <<<"$out" || got=fails
	grep -q "max search depth too small" <<<"$out" && got=unfinished
	local states
	states=$(awk '/states, stored/ {print $1; exit}' <<<"$out")
	printf '%-12s %-10s want %-6s got %-6s %s states\n' "$model" "${define:--}" "$want" "$got" "$states"
	if [ "$got" = "$want" ]; then passed=$((passed + 1)); else failed=$((failed + 1)); fi
}

check once holds
check once fails LEASE
check once fails NOLEDGER
check once fails NOTRY
check generation holds
check generation fails NOMATCH
check generation fails NOCHECK
check handover holds
check handover fails NOSEAL
check handover fails NOTO
check handover fails TWICE
check returns holds
check returns fails CURSOR
check returns fails MAXIMUM
check returns fails OBEY
check starts holds
check starts fails SENT
check starts fails VOUCH
check starts fails EARLY
check starts fails ENDLESS
check starts fails ALLDOWN
check starts holds DOUBT
check starts fails BLINDVOUCH
check starts fails UNREAD
check starts fails STALE
check starts fails BLANK
check starts fails TELLSERVE
check starts fails TELLWAIT
check config holds
check config fails BLIND
check config fails BACK
check keys holds
check keys fails ARRIVAL
check keys fails NOAGE
check keys fails NORECHECK
check keys fails NOVERSION
check keys fails STEADY
check placement holds
check placement fails NOCOUNT
check placement fails NONAME
check placement fails NOCHECK
check orders holds
check orders fails KEEPS
check orders fails TRUSTS
check quarantine holds
check quarantine fails NOSTORE
check quarantine fails TRUST
check quarantine fails OVERWRITE
check quarantine fails NOASK
check quarantine fails NAMELESS
check limit holds
check limit fails WHOLE
check limit fails TAKES
check limit fails FULL
echo "models: $passed passed, $failed failed"
[ "$failed" -eq 0 ]
