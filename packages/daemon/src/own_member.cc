#include "own_member.h"

#include "medlarwinch/transport/system_clock.h"

namespace medlarwinch {

nlohmann::json ToJson(const MemberEntry& entry) {
  return nlohmann::json{{"id", ToString(entry.id)},
                        {"kind", MemberKindName(entry.kind)},
                        {"phase", MemberPhaseName(entry.version.phase)},
                        {"boot", entry.version.boot},
                        {"incarnation", entry.version.incarnation},
                        {"service", entry.service},
                        {"domain", entry.failure_domain},
                        {"slots", entry.slots},
                        {"data", ToString(entry.data)},
                        {"upstream", ToString(entry.upstream)}};
}

MemberEntry MakeOwnMemberEntry(const Settings& settings, MemberKind kind,
                               const Endpoint& control) {
  MemberEntry entry;
  entry.id = control;
  entry.version.boot = WallNow().value;
  entry.kind = kind;
  entry.failure_domain = settings.failure_domain;
  entry.data = settings.data;
  if (settings.agent.has_value()) {
    entry.service = settings.agent->service;
    entry.slots = settings.agent->slots;
    entry.upstream = settings.agent->upstream;
  }
  return entry;
}

}  // namespace medlarwinch
