# Functions that start and stop a test cluster on loopback: the platform stand-in, the worker stand-in and the entry
# processes. Sourced by other scripts.
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

# startProcess NAME PROGRAM [ARGUMENT...]: runs the program in the background; its output goes to NAME.log.
startProcess() {
    local name=$1
    shift
    "$@" >> "$clusterDir/$name.log" 2>&1 &
    processIds[$name]=$!
}

# signalProcess NAME SIGNAL
signalProcess() { kill -s "$2" "${processIds[$1]}"; }

# waitProcess NAME: waits until the process exits and returns its exit code.
waitProcess() {
    local code=0
    wait "${processIds[$1]}" || code=$?
    unset "processIds[$1]"
    return "$code"
}

# Kills all processes of the cluster and removes its directory. SIGCONT comes first, since a scenario may
# have stopped some with SIGSTOP.
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

# waitFor SECONDS COMMAND...: repeats the command every 100 ms until it succeeds. Returns 1 after about
# SECONDS.
waitFor() {
    local limit=$1 n
    shift
    for ((n = 0; n < limit * 10; ++n)); do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

# zoneOf N: the zone of entry process N. Zones are assigned round robin.
zoneOf() {
    local zoneList
    IFS=, read -r -a zoneList <<< "$zones"
    echo "${zoneList[$((($1 - 1) % ${#zoneList[@]}))]}"
}

entryUrl() { echo "http://127.0.0.1:$((entryHttpPort + $1))"; }

# URLs of all entry processes, separated by commas.
entryUrls() {
    local n urls=""
    for ((n = 1; n <= entries; ++n)); do
        urls+="${urls:+,}$(entryUrl "$n")"
    done
    echo "$urls"
}

# writeSettings N: writes the settings file of entry process N.
writeSettings() {
    local n=$1 salt=00112233445566778899aabbccddeeff digest
    # The digest is the SHA-256 of the salt as hexadecimal text, a dot and the secret.
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

# ctl ARGUMENT...: runs lycheectl with the operator's key against CTL_SERVER, by default all entry processes.
ctl() { "$buildDir/lycheectl" --server="${CTL_SERVER:-$(entryUrls)}" --key="$operatorKey" "$@"; }

# Succeeds once the owner is active and reports an available worker, which it does one or two seconds after it became
# active, because the VM list lags.
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

# URLs from which load_client reads the start histories of the workers, as one range of ports.
workerHistories() { echo "http://127.0.0.1:$workerPort-$((workerPort + workers - 1))"; }

# Prints the number of the entry process that owns the cell. Returns 1 if none does.
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

# killEntry N: sends SIGKILL to entry process N and waits until it has exited.
killEntry() {
    signalProcess "entry-$1" KILL
    waitProcess "entry-$1" 2> /dev/null || true
}
