#include "medlarwinch/transport/bounded_json.h"

#include <nlohmann/json.hpp>

namespace medlarwinch {
namespace {

using Json = nlohmann::json;

// The deepest objects of the platform, routes in a listed configuration, have
// some ten levels.
constexpr int kMaxDepth = 64;

bool IsTooDeep(std::string_view text) {
  int depth = 0;
  JsonStringState state;
  for (const char character : text) {
    if (AdvanceJsonString(state, character)) continue;
    if (character == '[' || character == '{') ++depth;
    if (character == ']' || character == '}') --depth;
    if (depth > kMaxDepth) return true;
  }
  return false;
}

}  // namespace

bool AdvanceJsonString(JsonStringState& state, char character) {
  const bool was_inside = state.is_inside;
  if (character == '"' && !state.is_escaped) state.is_inside = !was_inside;
  state.is_escaped = was_inside && !state.is_escaped && character == '\\';
  return was_inside || state.is_inside;
}

Json ParseBoundedJson(std::string_view text) {
  if (IsTooDeep(text)) return Json(Json::value_t::discarded);
  return Json::parse(text, nullptr, false);
}

}  // namespace medlarwinch
