# Functions that start and stop a cluster of stand-ins and entry processes on loopback. Sourced by other scripts.
#
# Settings (environment): BUILD_DIR, ENTRIES, WORKERS, ZONES, BASE_PORT.

buildDir=${BUILD_DIR:-build}
entries=${ENTRIES:-6}
workers=${WORKERS:-50}
zones=${ZONES:-a,b,c}
basePort=${BASE_PORT:-21000}

platformPort=$basePort
workerPort=$((basePort + 1000))
entryHttpPort=$((basePort + 100))
entryPeerPort=$((basePort + 200))
platformUrl="http://127.0.0.1:$platformPort"
operatorKey="bootstrap.demo-operator-secret"

clusterDir=$(mktemp -d)
declare -A processIds=()

fail() {
    echo "$0: $*" >&2
    exit 1
}

# startProcess NAME PROGRAM [ARGUMENT...]
startProcess() {
    local name=$1
    shift
    "$@" >> "$clusterDir/$name.log" 2>&1 &
    processIds[$name]=$!
}

# signalProcess NAME SIGNAL
signalProcess() { kill -s "$2" "${processIds[$1]}"; }

# waitProcess NAME: waits for the end, returns the exit code.
waitProcess() {
    local code=0
    wait "${processIds[$1]}" || code=$?
    unset "processIds[$1]"
    return "$code"
}

stopCluster() {
    local name
    for name in "${!processIds[@]}"; do
        kill -s CONT "${processIds[$name]}" 2> /dev/null || true
        kill -s KILL "${processIds[$name]}" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$clusterDir"
}
trap stopCluster EXIT

# waitFor SECONDS COMMAND...: repeats the command until it succeeds.
waitFor() {
    local limit=$1 n
    shift
    for ((n = 0; n < limit * 10; ++n)); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

zoneOf() {
    local list
    IFS=, read -r -a list <<< "$zones"
    echo "${list[$((($1 - 1) % ${#list[@]}))]}"
}

entryUrl() { echo "http://127.0.0.1:$((entryHttpPort + $1))"; }

entryUrls() {
    local n list=""
    for ((n = 1; n <= entries; ++n)); do
        list+="${list:+,}$(entryUrl "$n")"
    done
    echo "$list"
}

writeSettings() {
    local n=$1 salt=00112233445566778899aabbccddeeff digest
    # The digest covers the hexadecimal salt, a dot and the secret.
    digest=$(printf '%s.%s' "$salt" "${operatorKey#*.}" | sha256sum | cut -d' ' -f1)
    cat > "$clusterDir/entry-$n.jsonc" << SETTINGS
{
    "member": { "id": "entry-$n", "zone": "$(zoneOf "$n")" },
    "listen": { "address": "127.0.0.1", "port": $((entryHttpPort + n)) },
    "peer": { "address": "127.0.0.1", "port": $((entryPeerPort + n)) },
    "cell": { "id": "main", "zones": ["${zones//,/\", \"}"] },
    "platform": { "storeUrl": "$platformUrl", "vmListUrl": "$platformUrl/v1/vms" },
    "clusterSecret": "demo-cluster-secret-0123456789abcdef",
    "bootstrapKey": { "salt": "$salt", "sha256": "$digest" },
}
SETTINGS
}

startEntry() {
    startProcess "entry-$1" "$buildDir/lycheeledged" --settings="$clusterDir/entry-$1.jsonc" --seed="$1"
}

ctl() { "$buildDir/lycheectl" --server="${CTL_SERVER:-$(entryUrls)}" --key="$operatorKey" "$@"; }

# An active owner knows the workers a second or two later, because the VM list lags.
cellIsActive() { [[ "$(ctl cell overview --json)" == *'"available": true'* ]]; }

startCluster() {
    local n
    startProcess platform "$buildDir/platform_standin" --port="$platformPort" "${platformFlags[@]}"
    startProcess workers "$buildDir/worker_standin" --workers="$workers" --first_port="$workerPort" --zones="$zones" \
        --per_rack=6 --platform="$platformUrl" "${workerFlags[@]}"
    waitFor 20 curl -sf "$platformUrl/v1/vms" || fail "the platform stand-in does not answer"
    for ((n = 1; n <= entries; ++n)); do
        writeSettings "$n"
        startEntry "$n"
    done
    waitFor 30 cellIsActive || fail "the cell did not become active; logs: $(tail -n 3 "$clusterDir"/*.log)"
}
platformFlags=()
workerFlags=()

workerHistories() { echo "http://127.0.0.1:$workerPort-$((workerPort + workers - 1))"; }

ownerEntry() {
    local n
    for ((n = 1; n <= entries; ++n)); do
        if [[ "$(CTL_SERVER=$(entryUrl "$n") ctl process status --json --timeout_ms=2000 2> /dev/null)" \
            == *'"ownsCell": true'* ]]; then
            echo "$n"
            return
        fi
    done
    return 1
}

killEntry() {
    signalProcess "entry-$1" KILL
    waitProcess "entry-$1" 2> /dev/null || true
}
