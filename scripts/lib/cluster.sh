# Starts and stops the demo system on loopback: three data centres with two entry hosts, two engines
# and one plain service each, and one platform. Sourced by scripts/demo and the scripts that measure. Needs $root (the repository),
# $bin (folder of the programs) and $work (an empty folder for settings, logs and records). The array
# $engine_options, if set, is added to the command line of each engine.

data_centres=(xela toto solola)
hosts_per_data_centre=${HOSTS_PER_DATA_CENTRE:-2}
platform_address=127.20.0.1:7100
declare -A process_ids=()

start_process() { # name command...
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  process_ids[$name]=$!
}

# Ends one process by its id and returns its exit code.
stop_process() { # name [signal]
  local id=${process_ids[$1]:-}
  [ -n "$id" ] || return 0
  unset "process_ids[$1]"
  kill -s "${2:-TERM}" "$id" 2>/dev/null || true
  local code=0
  wait "$id" 2>/dev/null || code=$?
  return $code
}

stop_all() {
  local name
  for name in "${!process_ids[@]}"; do
    stop_process "$name" KILL || true
  done
}

wait_for_url() { # url seconds
  local attempt
  for attempt in $(seq $(($2 * 10))); do
    curl -fs -o "$work/wait.out" --max-time 2 "$1" && return 0
    sleep 0.1
  done
  echo "no answer from $1 within $2 s" >&2
  return 1
}

host_address() { echo "127.20.$1.$2"; } # data centre number, host number

write_host_settings() { # data centre number, host number
  local number=$1 host=$2 address data_centre
  address=$(host_address "$number" "$host")
  data_centre=${data_centres[$((number - 1))]}
  {
    echo "// Settings of entry host $data_centre-$host, written by scripts/demo."
    echo "{"
    echo "  \"host\": \"$data_centre-$host\", \"data_centre\": \"$data_centre\","
    echo "  \"caller_address\": \"$address:8080\","
    echo "  \"router_operator_address\": \"$address:8081\","
    echo "  \"controller_operator_address\": \"$address:8082\","
    echo "  \"peer_address\": \"$address:7000\","
    echo "  \"platform\": [\"$platform_address\"],"
    echo "  \"operator_token_file\": \"token\","
    echo "  \"log_file\": \"$data_centre-$host.log\","
    echo "  \"log_level\": \"info\","
    echo "  \"balancer_delay_ms\": 500,"
    echo "  \"peers\": ["
    local n h separator=""
    for n in 1 2 3; do
      for h in $(seq "$hosts_per_data_centre"); do
        echo "    $separator{\"host\": \"${data_centres[$((n - 1))]}-$h\"," \
          "\"data_centre\": \"${data_centres[$((n - 1))]}\"," \
          "\"endpoint\": \"$(host_address "$n" "$h"):7000\"}"
        separator=","
      done
    done
    echo "  ]"
    echo "}"
  } >"$work/$data_centre-$host.jsonc"
}

start_platform() {
  local number host arguments=()
  for number in 1 2 3; do
    for host in $(seq "$hosts_per_data_centre"); do
      arguments+=(--host="${data_centres[$((number - 1))]}-$host:${data_centres[$((number - 1))]}")
    done
  done
  start_process platform "$bin/savoryrill-testbed" platform --listen="$platform_address" \
    --record="$work/platform.records" --loads-per-second=4 --full-speed-loads=4 \
    --adapters-in-flight=32 --bandwidth-mb-s=14000 "${arguments[@]}"
  wait_for_url "http://$platform_address/hosts" 10
}

# Checkpoints lie unevenly: in memory at one engine, on disk at another one, else only remote.
start_upstreams() {
  local number index data_centre options
  for number in 1 2 3; do
    data_centre=${data_centres[$((number - 1))]}
    for index in 1 2; do
      options=()
      [ "$data_centre" = solola ] && options+=(--ignore-fencing)
      [ "$data_centre-$index" = xela-1 ] && options+=(--checkpoint=maintenance-notes@1:8000:memory)
      [ "$data_centre-$index" = toto-1 ] && options+=(--checkpoint=restoration-estimate@1:20000:disk)
      start_process "$data_centre-advisory-$index" "$bin/savoryrill-testbed" engine \
        --listen="127.20.$number.10$index:9000" --memory-mb=40000 --role=advisory \
        --record="$work/$data_centre-advisory-$index.records" \
        --weights-url="http://$platform_address" "${options[@]}" ${engine_options[@]+"${engine_options[@]}"}
    done
    start_process "$data_centre-dispatch-1" "$bin/savoryrill-testbed" service \
      --listen="127.20.$number.200:9000" --record="$work/$data_centre-dispatch-1.records"
  done
}

start_hosts() {
  local number host name
  for number in 1 2 3; do
    for host in $(seq "$hosts_per_data_centre"); do
      write_host_settings "$number" "$host"
      name=${data_centres[$((number - 1))]}-$host
      start_process "controller-$name" "$bin/savoryrill-controller" --settings "$work/$name.jsonc"
      start_process "router-$name" "$bin/savoryrill-router" --settings "$work/$name.jsonc"
    done
  done
}

wait_until_ready() {
  local number host address
  for number in 1 2 3; do
    for host in $(seq "$hosts_per_data_centre"); do
      address=$(host_address "$number" "$host")
      wait_for_url "http://$address:8081/readyz" 30
      wait_for_url "http://$address:8082/readyz" 30
    done
  done
}
