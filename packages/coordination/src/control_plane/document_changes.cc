#include "medlarwinch/coordination/control_plane/document_changes.h"

#include <map>
#include <set>

#include "medlarwinch/coordination/control_plane/document_fields.h"

namespace medlarwinch {
namespace {

constexpr const char* kTenantsPath = "limits.tenants";

std::map<std::string, std::string> TenantTexts(
    const ServiceDocument& document) {
  std::map<std::string, std::string> texts;
  for (const TenantLimit& tenant : document.limits.tenants) {
    std::vector<TenantLimit> one = {tenant};
    const std::string list = FormatFieldValue(&one);
    texts[tenant.name] = list.substr(1, list.size() - 2);
  }
  return texts;
}

void AppendTenantChanges(const ServiceDocument& before,
                         const ServiceDocument& after,
                         std::vector<FieldChange>& changes) {
  std::map<std::string, std::string> old_texts = TenantTexts(before);
  std::map<std::string, std::string> new_texts = TenantTexts(after);
  std::set<std::string> names;
  for (const auto& [name, text] : old_texts) names.insert(name);
  for (const auto& [name, text] : new_texts) names.insert(name);
  for (const std::string& name : names) {
    if (old_texts[name] == new_texts[name]) continue;
    changes.push_back(FieldChange{std::string(kTenantsPath) + "[" + name + "]",
                                  old_texts[name], new_texts[name]});
  }
}

}  // namespace

std::vector<FieldChange> ListChanges(const ServiceDocument& before,
                                     const ServiceDocument& after) {
  ServiceDocument old_document = before;
  ServiceDocument new_document = after;
  std::vector<FieldChange> changes;
  for (const DocumentField& field : DocumentFields()) {
    if (field.path == kTenantsPath) {
      AppendTenantChanges(before, after, changes);
      continue;
    }
    const std::string old_text = FormatFieldValue(field.locate(old_document));
    const std::string new_text = FormatFieldValue(field.locate(new_document));
    if (old_text == new_text) continue;
    changes.push_back(FieldChange{field.path, old_text, new_text});
  }
  return changes;
}

}  // namespace medlarwinch
