# Sourced by the cases that run testsuite/platform/soak.py, or another program there
# (program). Sets root, and sums the checks of the runs in passed and failed.
root=$(cd "$(dirname "$0")/../.." && pwd)
build=${RILLWALL_BUILD:-$root/build}
[[ -n ${RILLWALL_SKIP_BUILD:-} ]] || "$root/scripts/build" rillwall || exit 1

passed=0
failed=0
# soak NAME ARGUMENTS...: makes one run and adds up its checks
soak() {
  local name=$1 out line
  shift
  out=$(python3 "$root/testsuite/platform/${program:-soak.py}" \
    --binary "$build/src/rillwall/rillwall" "$@" 2>&1)
  line=$(grep -E '^[0-9]+ passed, [0-9]+ failed$' <<<"$out" | tail -n 1)
  if [[ $line =~ ^([0-9]+)" passed, "([0-9]+) ]]; then
    passed=$((passed + BASH_REMATCH[1]))
    failed=$((failed + BASH_REMATCH[2]))
  else
    failed=$((failed + 1))
  fi
  if [[ ! $line =~ " 0 failed" ]]; then
    printf '%s\n' "$out"
    echo "platform: FAILED $name"
  fi
}

# conclude: prints the sum; the status is 0 if nothing failed
conclude() {
  echo "platform: $passed passed, $failed failed"
  [[ $failed -eq 0 ]]
}
