#include "medlarwinch/coordination/control_plane/change_checks.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace medlarwinch {
namespace {

// Tolerance for rounding errors: a share of 50 percent may be computed as
// 50.000000000000007, which would be rounded up to 51.
constexpr double kRoundingTolerance = 1e-9;

// Returns the upstreams that accept new flows unless the document drains them.
std::vector<MemberEntry> ReadyUpstreams(
    const std::string& service, const std::vector<MemberEntry>& members) {
  std::vector<MemberEntry> ready;
  for (const MemberEntry& member : members) {
    const bool is_ready = member.kind == MemberKind::kAgent &&
                          member.service == service &&
                          member.version.phase <= MemberPhase::kReady;
    if (is_ready) ready.push_back(member);
  }
  return ready;
}

// Returns the share of new flows that each upstream gets in proportion to its
// slots.
std::vector<double> FlowShares(const std::vector<MemberEntry>& upstreams,
                               const DrainPolicy& drain) {
  const std::set<Endpoint> drained(drain.upstreams.begin(),
                                   drain.upstreams.end());
  std::vector<double> shares;
  double sum = 0;
  for (const MemberEntry& upstream : upstreams) {
    const bool is_drained = drained.count(upstream.upstream) > 0;
    shares.push_back(is_drained ? 0 : upstream.slots);
    sum += shares.back();
  }
  if (sum == 0) return shares;
  for (double& share : shares) share /= sum;
  return shares;
}

// Returns the percentage of new flows that move to another upstream. Rendezvous
// hashing moves only flows of upstreams whose share shrinks.
uint32_t MovedPercent(const std::vector<double>& before,
                      const std::vector<double>& after) {
  double moved = 0;
  for (size_t index = 0; index < before.size(); ++index) {
    moved += std::max(before[index] - after[index], 0.0);
  }
  return static_cast<uint32_t>(std::ceil(moved * 100 - kRoundingTolerance));
}

bool IsEmpty(const std::vector<double>& shares) {
  return std::all_of(shares.begin(), shares.end(),
                     [](double share) { return share == 0; });
}

void CheckUpstreams(const ServiceDocument& before, const ServiceDocument& after,
                    const std::vector<MemberEntry>& members,
                    ChangeAssessment& assessment) {
  const std::vector<MemberEntry> upstreams =
      ReadyUpstreams(after.service, members);
  assessment.known_upstreams = upstreams.size();
  if (upstreams.empty()) return;
  const std::vector<double> old_shares = FlowShares(upstreams, before.drain);
  const std::vector<double> new_shares = FlowShares(upstreams, after.drain);
  assessment.moved_percent = MovedPercent(old_shares, new_shares);
  const bool becomes_empty = IsEmpty(new_shares) && !IsEmpty(old_shares);
  if (becomes_empty && !after.confirm.empty_service) {
    assessment.refusals.push_back(ChangeRefusal{
        "drain.upstreams",
        "drain.upstreams names all " + std::to_string(upstreams.size()) +
            " known upstreams, so the service would have none; to confirm, set "
            "confirm.empty_service to true"});
  }
  const uint32_t moved = assessment.moved_percent;
  // The smaller of both limits applies, so that a change cannot raise its own
  // limit.
  const uint32_t allowed = std::min(before.balance.max_moved_percent,
                                    after.balance.max_moved_percent);
  if (moved > allowed && after.confirm.moved_percent < moved) {
    assessment.refusals.push_back(
        ChangeRefusal{"drain.upstreams",
                      "the change moves about " + std::to_string(moved) +
                          " percent of new flows to other upstreams, more than "
                          "balance.max_moved_percent (" +
                          std::to_string(allowed) +
                          "); to confirm, set confirm.moved_percent to " +
                          std::to_string(moved)});
  }
}

}  // namespace

ChangeAssessment AssessChange(const ServiceDocument& before,
                              const ServiceDocument& after,
                              const std::vector<MemberEntry>& members) {
  ChangeAssessment assessment;
  assessment.changes = ListChanges(before, after);
  if (before.service != after.service) {
    assessment.refusals.push_back(ChangeRefusal{
        "service", "a service cannot be renamed; set service to \"" +
                       before.service + "\""});
    return assessment;
  }
  if (before.owner != after.owner) {
    assessment.refusals.push_back(ChangeRefusal{
        "owner", "the service belongs to another owner; set owner to \"" +
                     before.owner + "\""});
  }
  CheckUpstreams(before, after, members, assessment);
  return assessment;
}

}  // namespace medlarwinch
