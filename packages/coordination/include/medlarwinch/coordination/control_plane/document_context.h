#pragma once

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <utility>

#include "medlarwinch/state/account_entry.h"
#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// The document that a decision is based on, with the version that its reasons
/// give. Version 0 means the defaults that apply before any document is known.
struct DocumentContext {
  ServiceDocument document;
  uint64_t version = 0;

  friend bool operator==(const DocumentContext&,
                         const DocumentContext&) = default;
};

/// Builds a reason from `rule`, the context's document and version, and `path`
/// in that document.
Reason MakeReason(
    const DocumentContext& context, std::string rule, std::string path,
    std::initializer_list<std::pair<const std::string, std::string>> facts =
        {});

}  // namespace medlarwinch
