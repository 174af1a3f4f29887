# Shell functions for the test cases under testsuite/, which count checks.
# Source it after lib.sh. shellcheck shell=bash

CASE_NAME=$(basename "$(cd "$(dirname "$0")" && pwd)")
CASE_PASSED=0
CASE_FAILED=0

# check WHAT COMMAND...: runs one check, which passes if the command succeeds.
check() {
  local what=$1
  shift
  if "$@"; then
    CASE_PASSED=$((CASE_PASSED + 1))
  else
    CASE_FAILED=$((CASE_FAILED + 1))
    echo "$CASE_NAME: FAILED $what"
  fi
}

# equal EXPECTED ACTUAL
equal() {
  [[ $1 == "$2" ]] && return
  echo "  expected '$1', got '$2'"
  return 1
}

# Prints the counts of the case; fails if a check failed.
case_end() {
  echo "$CASE_NAME: $CASE_PASSED passed, $CASE_FAILED failed"
  [[ $CASE_FAILED -eq 0 ]]
}

# case_fleet ENGINES NODES ZONES...: builds, then starts the stand-ins of the
# platform, engines and nodes, and waits until the nodes have joined.
case_fleet() {
  local engines=$1 nodes=$2 node
  shift 2
  rw_begin
  rw_build
  rw_platform "$engines" "$@"
  rw_plan_nodes "$nodes" "$@"
  for node in "${RW_NODES[@]}"; do rw_node "$node"; done
  for node in "${RW_NODES[@]}"; do rw_wait_ready "$node"; done
  rw_until 30 case_joined "$nodes" || rw_fail "the nodes did not join each other"
}

# case_joined COUNT: whether every node sees COUNT live members.
case_joined() {
  local node
  for node in "${RW_NODES[@]}"; do
    [[ $(rw_get "${RW_ADDRESS[$node]}/admin/hosts" |
      jq '[.hosts[] | select(.state == "alive")] | length') -eq $1 ]] || return 1
  done
}
