#include "medlarwinch/coordination/control_plane/document_context.h"

namespace medlarwinch {

Reason MakeReason(
    const DocumentContext& context, std::string rule, std::string path,
    std::initializer_list<std::pair<const std::string, std::string>> facts) {
  Reason reason;
  reason.rule = std::move(rule);
  reason.document = context.document.service;
  reason.document_version = context.version;
  reason.path = std::move(path);
  reason.facts = facts;
  return reason;
}

}  // namespace medlarwinch
