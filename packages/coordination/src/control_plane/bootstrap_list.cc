#include "medlarwinch/coordination/control_plane/bootstrap_list.h"

#include <algorithm>
#include <sstream>

namespace medlarwinch {
namespace {

bool Contains(const std::vector<Endpoint>& list, const Endpoint& entry) {
  return std::find(list.begin(), list.end(), entry) != list.end();
}

std::vector<Endpoint> ReadyInDomain(const MemberTable& table,
                                    const std::string& failure_domain) {
  std::vector<Endpoint> ready;
  for (const Endpoint& id : ReadyBalancers(table)) {
    if (table.members.at(id).entry.failure_domain != failure_domain) continue;
    ready.push_back(id);
  }
  return ready;
}

}  // namespace

std::vector<Endpoint> ParseBootstrapList(const std::string& text) {
  std::vector<Endpoint> list;
  std::istringstream lines(text);
  std::string line;
  while (list.size() < kMaxBootstrapEntries && std::getline(lines, line)) {
    const Result<Endpoint> entry = ParseEndpoint(line);
    if (IsOk(entry)) list.push_back(ValueOf(entry));
  }
  return list;
}

std::string FormatBootstrapList(const std::vector<Endpoint>& list) {
  std::string text;
  for (const Endpoint& entry : list) text += ToString(entry) + "\n";
  return text;
}

std::optional<std::vector<Endpoint>> DecideBootstrapList(
    const std::vector<Endpoint>& current, const std::string& failure_domain,
    const MemberTable& table) {
  const std::vector<Endpoint> ready = ReadyInDomain(table, failure_domain);
  std::vector<Endpoint> list;
  for (const Endpoint& entry : current) {
    if (Contains(ready, entry)) list.push_back(entry);
  }
  if (list.size() >= std::min(kMinBootstrapEntries, ready.size())) {
    return std::nullopt;
  }
  for (const Endpoint& candidate : ready) {
    if (list.size() == kMaxBootstrapEntries) break;
    if (!Contains(list, candidate)) list.push_back(candidate);
  }
  return list;
}

}  // namespace medlarwinch
