# Shared shell functions of the cases under testsuite/: counting checks.
# Source it after lib.sh. shellcheck shell=bash

CASE_NAME=$(basename "$(cd "$(dirname "$0")" && pwd)")
CASE_PASSED=0
CASE_FAILED=0

# check WHAT COMMAND...: counts whether a command succeeds.
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

# equal WANTED FOUND
equal() {
  [[ $1 == "$2" ]] && return
  echo "  wanted '$1', found '$2'"
  return 1
}

# ends the case with its counts
case_end() {
  echo "$CASE_NAME: $CASE_PASSED passed, $CASE_FAILED failed"
  [[ $CASE_FAILED -eq 0 ]]
}

# Starts the platform with engines and nodes: case_fleet ENGINES NODES ZONES...
case_fleet() {
  local engines=$1 nodes=$2 node
  shift 2
  rw_begin
  rw_build
  rw_platform "$engines" "$@"
  rw_plan_nodes "$nodes" "$@"
  for node in "${RW_NODES[@]}"; do rw_node "$node"; done
  for node in "${RW_NODES[@]}"; do rw_wait_ready "$node"; done
  rw_until 30 case_joined "$nodes" || rw_fail "the nodes do not know each other"
}

# Whether every node sees all others as live.
case_joined() {
  local node
  for node in "${RW_NODES[@]}"; do
    [[ $(rw_get "${RW_ADDRESS[$node]}/admin/hosts" |
      jq '[.hosts[] | select(.state == "alive")] | length') -eq $1 ]] || return 1
  done
}
