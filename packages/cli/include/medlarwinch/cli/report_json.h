#pragma once

#include <nlohmann/json.hpp>
#include <vector>

#include "medlarwinch/coordination/control_plane/change_checks.h"

namespace medlarwinch {

/// Formats a field change for `--output json`.
nlohmann::json ToJson(const FieldChange& change);
/// Formats a refusal for `--output json`.
nlohmann::json ToJson(const ChangeRefusal& refusal);

/// Formats a list, each element with ToJson().
template <typename T>
nlohmann::json ToJsonList(const std::vector<T>& elements) {
  nlohmann::json list = nlohmann::json::array();
  for (const T& element : elements) list.push_back(ToJson(element));
  return list;
}

}  // namespace medlarwinch
