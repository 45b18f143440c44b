#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They go to
# target/review-2/. Run it from anywhere.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
[ -x target/Daemon/auburnhitchd ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }
output=target/review-2
mkdir -p "$output"
flags=(-std=c++20 -O1 -Ireview/stand-in-2 -ITests/Support)
for directory in Libraries/*/include platform/include; do
  flags+=("-I$directory")
done
# The programs are started from the root of the repository.
flags+=('-DDAEMON_PROGRAM="target/Daemon/auburnhitchd"' '-DSTANDIN_PROGRAM="target/review-2/no-stand-in"')
objects=()
running=()
for source in Tests/Support/{ChildProcess,Cluster,GatewayCluster,PeerNetwork,RawServer,StoreStandIn,TestCaller}.cpp \
  review/stand-in-2/CaseSupport.cpp; do
  object="$output/$(basename "$source" .cpp).o"
  g++ "${flags[@]}" -c "$source" -o "$object" &
  running+=("$!")
  objects+=("$object")
done
for process in "${running[@]}"; do
  wait "$process"
done
mapfile -t archives < <(find target/Libraries target/platform -name 'lib*.a' | sort)
libraries=(-levhtp -lhttp_parser -ljsonrpccpp-server -ljsonrpccpp-common -lspdlog -lfmt -lssl -lcrypto -lpthread)
read -r -a packaged <<<"$(pkg-config --libs libevent jsoncpp absl_status absl_statusor absl_strings \
  absl_flat_hash_map absl_hash absl_raw_hash_set absl_str_format)"
for program in memory-crowd:MemoryCrowd spoiled-answers:SpoiledAnswers entry-without-born:EntryWithoutBorn; do
  g++ "${flags[@]}" "review/stand-in-2/${program##*:}.cpp" "${objects[@]}" \
    -Wl,--start-group "${archives[@]}" -Wl,--end-group "${packaged[@]}" "${libraries[@]}" \
    -o "$output/${program%%:*}"
done
