#include "medlarwinch/coordination/packet_path/evacuation.h"

#include <algorithm>

namespace medlarwinch {

EvacuationView MakeEvacuationView(const std::set<std::string>& names,
                                  const StoreRevision& revision) {
  EvacuationView view;
  view.is_known = true;
  view.revision = revision;
  for (const std::string& name : names) {
    if (name.size() > kMaxFailureDomainBytes) continue;
    if (view.failure_domains.size() == kMaxEvacuatedDomains) break;
    view.failure_domains.push_back(name);
  }
  return view;
}

bool MergeEvacuations(EvacuationView& known, const EvacuationView& other) {
  if (!other.is_known) return false;
  if (known.is_known && other.revision < known.revision) return false;
  const bool has_changed =
      !known.is_known || known.failure_domains != other.failure_domains;
  known = other;
  return has_changed;
}

bool IsEvacuated(const EvacuationView& view,
                 const std::string& failure_domain) {
  return view.is_known &&
         std::find(view.failure_domains.begin(), view.failure_domains.end(),
                   failure_domain) != view.failure_domains.end();
}

std::string FormatEvacuations(const EvacuationView& view) {
  std::string text;
  for (const std::string& failure_domain : view.failure_domains) {
    if (!text.empty()) text += ' ';
    text += failure_domain;
  }
  return text;
}

}  // namespace medlarwinch
