// Compares schemes that choose an upstream for a new flow: imbalance of the
// first choices, share of other flows moved by a removal, decision time and
// rebuild time. Prints a Markdown table.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "medlarwinch/bench/maglev_table.h"
#include "medlarwinch/coordination/request_path/candidate_index.h"
#include "medlarwinch/coordination/shared/rendezvous.h"

namespace medlarwinch {
namespace {

constexpr uint64_t kKeys = 400'000;
constexpr uint64_t kTimedKeys = 20'000;
constexpr size_t kSmallTableEntries = 65'537;
constexpr size_t kLargeTableEntries = 655'373;

using Nodes = std::vector<WeightedNode>;
// Returns the first candidate for a key.
using Chooser = std::function<Endpoint(uint64_t key)>;
// Creates a chooser for a set of nodes.
using Scheme = std::function<Chooser(const Nodes& nodes)>;

uint64_t MakeKey(uint64_t number) {
  return HashKeyWithNode(number, Endpoint{});
}

Nodes MakeNodes(uint32_t count) {
  Nodes nodes;
  for (uint32_t index = 0; index < count; ++index) {
    nodes.push_back(WeightedNode{Endpoint{0x0a000001 + index, 7'200}, 4});
  }
  return nodes;
}

Chooser MakeRendezvous(const Nodes& nodes) {
  return [nodes](uint64_t key) {
    return ChooseByRendezvous(key, nodes, 2).front();
  };
}

Chooser MakeIndex(const Nodes& nodes) {
  std::vector<TableUpstream> upstreams;
  for (const WeightedNode& node : nodes) {
    upstreams.push_back(
        TableUpstream{node.id, {node.weight, node.weight, 0}, false});
  }
  const CandidateIndex index(upstreams);
  return [index](uint64_t key) { return index.Choose(key, 2).agents[0]; };
}

Scheme MakeMaglev(size_t size) {
  return [size](const Nodes& nodes) {
    const MaglevTable table(nodes, size);
    return [table, nodes](uint64_t key) { return nodes[table.Choose(key)].id; };
  };
}

double NanosSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void PrintRow(const std::string& name, const Scheme& scheme, uint32_t count) {
  const Nodes nodes = MakeNodes(count);
  Nodes fewer = nodes;
  const Endpoint removed = nodes[count / 2].id;
  fewer.erase(fewer.begin() + count / 2);
  const auto build_start = std::chrono::steady_clock::now();
  const Chooser before = scheme(nodes);
  const double build_micros = NanosSince(build_start) / 1'000;
  const Chooser after = scheme(fewer);
  // Uses fewer keys, because full rendezvous hashing is slow with many nodes.
  const uint64_t keys = count > 100 ? kKeys / 2 : kKeys;
  std::vector<uint64_t> flows(count);
  uint64_t moved_others = 0;
  for (uint64_t number = 0; number < keys; ++number) {
    const Endpoint chosen = before(MakeKey(number));
    ++flows[chosen.ip - nodes.front().id.ip];
    if (chosen != removed && after(MakeKey(number)) != chosen) ++moved_others;
  }
  const auto timed_start = std::chrono::steady_clock::now();
  uint64_t sink = 0;
  for (uint64_t number = 0; number < kTimedKeys; ++number) {
    sink += before(MakeKey(number)).ip;
  }
  const double nanos = NanosSince(timed_start) / kTimedKeys;
  const double mean = static_cast<double>(keys) / count;
  const double highest =
      static_cast<double>(*std::max_element(flows.begin(), flows.end()));
  std::printf(
      "| %s | %u | %.3f | %.4f %% | %.0f ns | %.0f us |%s\n", name.c_str(),
      count, highest / mean,
      100.0 * static_cast<double>(moved_others) / static_cast<double>(keys),
      nanos, build_micros, sink == 0 ? " " : "");
}

void PrintAll() {
  std::printf(
      "| scheme | upstreams | max/mean of first choices | other flows moved by "
      "one removal | decision | rebuild |\n"
      "| --- | --- | --- | --- | --- | --- |\n");
  for (const uint32_t count : {7U, 100U, 1'000U}) {
    PrintRow("rendezvous", MakeRendezvous, count);
    PrintRow("Maglev, 65,537 entries", MakeMaglev(kSmallTableEntries), count);
    PrintRow("Maglev, 655,373 entries", MakeMaglev(kLargeTableEntries), count);
    PrintRow("weight classes (chosen)", MakeIndex, count);
  }
}

}  // namespace
}  // namespace medlarwinch

int main() {
  medlarwinch::PrintAll();
  return 0;
}
