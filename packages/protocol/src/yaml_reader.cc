#include "medlarwinch/protocol/yaml_reader.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <numeric>
#include <set>

#include "medlarwinch/coordination/control_plane/document_fields.h"

namespace medlarwinch {
namespace {

// Maximum edit distance of a suggested name.
constexpr size_t kMaxEditDistance = 3;
// Minimum length of a name that is matched as a prefix, for example of a known
// name whose unit suffix is missing.
constexpr size_t kMinPrefixLength = 3;

size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), size_t{0});
  for (size_t i = 1; i <= a.size(); ++i) {
    size_t diagonal = row[0];
    row[0] = i;
    for (size_t j = 1; j <= b.size(); ++j) {
      const size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row[b.size()];
}

// Accepts plain decimal integers only. YAML 1.1 reads "010" as octal 8, which
// is never intended here.
bool ParseDecimal(const std::string& text, int64_t& value) {
  const size_t first_digit = text.rfind('-', 0) == 0 ? 1 : 0;
  if (text.size() > first_digit + 1 && text[first_digit] == '0') return false;
  const char* end = text.data() + text.size();
  const std::from_chars_result parsed =
      std::from_chars(text.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end;
}

}  // namespace

std::string_view NearestName(std::string_view name,
                             const std::vector<std::string>& known) {
  std::string_view nearest;
  size_t smallest = kMaxEditDistance + 1;
  for (const std::string& candidate : known) {
    const bool is_prefix =
        name.size() >= kMinPrefixLength && candidate.rfind(name, 0) == 0;
    const size_t distance = is_prefix ? 1 : EditDistance(name, candidate);
    if (distance >= smallest) continue;
    smallest = distance;
    nearest = candidate;
  }
  return nearest;
}

struct YamlReader::ParseState {
  struct VisitedMapping {
    YAML::Node node;
    std::set<std::string> requested_names;
  };

  std::string file;
  std::vector<std::string> errors;
  // Every mapping that was read, by path, with the field names requested from
  // it.
  std::map<std::string, VisitedMapping> visited_mappings;

  void AddError(int line, const std::string& path, const std::string& message) {
    errors.push_back(file + ":" + std::to_string(line + 1) + ": " +
                     (path.empty() ? "" : path + ": ") + message);
  }
};

YamlReader::YamlReader(std::string file, const std::string& text)
    : state_(std::make_shared<ParseState>()) {
  state_->file = std::move(file);
  try {
    node_ = YAML::Load(text);
    if (node_.IsMap()) {
      state_->visited_mappings[path_].node = node_;
      return;
    }
    state_->AddError(0, "", "expected a mapping of fields");
  } catch (const YAML::Exception& exception) {
    state_->AddError(exception.mark.line, "", exception.msg);
  }
  node_ = YAML::Node(YAML::NodeType::Map);
}

YamlReader::YamlReader(std::shared_ptr<ParseState> state, YAML::Node node,
                       std::string path)
    : state_(std::move(state)), node_(node), path_(std::move(path)) {
  state_->visited_mappings[path_].node = node_;
}

std::string YamlReader::PathOf(const std::string& name) const {
  if (name.empty()) return path_;
  return path_.empty() ? name : path_ + "." + name;
}

void YamlReader::ReportError(const std::string& name,
                             const std::string& message) {
  int line = std::max(node_.Mark().line, 0);
  if (!name.empty() && node_[name].IsDefined()) {
    line = std::max(node_[name].Mark().line, 0);
  }
  state_->AddError(line, PathOf(name), message);
}

std::optional<YAML::Node> YamlReader::Field(const std::string& name) {
  state_->visited_mappings[path_].requested_names.insert(name);
  const YAML::Node& map = node_;
  const YAML::Node field = map[name];
  if (!field.IsDefined() || field.IsNull()) return std::nullopt;
  return field;
}

bool YamlReader::Has(const std::string& name) const {
  const YAML::Node& map = node_;
  const YAML::Node field = map[name];
  return field.IsDefined() && !field.IsNull();
}

YamlReader YamlReader::Section(const std::string& name) {
  const std::optional<YAML::Node> field = Field(name);
  if (field.has_value() && field->IsMap()) {
    return YamlReader(state_, *field, PathOf(name));
  }
  if (field.has_value()) ReportError(name, "expected a mapping of fields");
  return YamlReader(state_, YAML::Node(YAML::NodeType::Map), PathOf(name));
}

std::vector<YamlReader> YamlReader::List(const std::string& name) {
  std::vector<YamlReader> readers;
  const std::optional<YAML::Node> field = Field(name);
  if (!field.has_value()) return readers;
  if (!field->IsSequence()) {
    ReportError(name, "expected a list of mappings");
    return readers;
  }
  for (size_t index = 0; index < field->size(); ++index) {
    const YAML::Node element = (*field)[index];
    const std::string path = PathOf(name) + "[" + std::to_string(index) + "]";
    if (!element.IsMap()) {
      state_->AddError(element.Mark().line, path,
                       "expected a mapping of fields");
      continue;
    }
    readers.push_back(YamlReader(state_, element, path));
  }
  return readers;
}

std::string YamlReader::String(const std::string& name,
                               const std::string& fallback) {
  const std::optional<YAML::Node> field = Field(name);
  if (!field.has_value()) return fallback;
  if (!field->IsScalar()) {
    ReportError(name, "expected a string");
    return fallback;
  }
  return field->Scalar();
}

std::string YamlReader::RequiredString(const std::string& name) {
  const std::string text = String(name, "");
  if (text.empty()) ReportError(name, "is required and must not be empty");
  return text;
}

int64_t YamlReader::Integer(const std::string& name, int64_t fallback,
                            int64_t min, int64_t max) {
  const std::optional<YAML::Node> field = Field(name);
  if (!field.has_value()) return fallback;
  int64_t value = 0;
  const bool is_valid = field->IsScalar() &&
                        ParseDecimal(field->Scalar(), value) && value >= min &&
                        value <= max;
  if (is_valid) return value;
  ReportError(name, "expected a whole number from " + std::to_string(min) +
                        " to " + std::to_string(max));
  return fallback;
}

double YamlReader::Number(const std::string& name, double fallback, double min,
                          double max) {
  const std::optional<YAML::Node> field = Field(name);
  if (!field.has_value()) return fallback;
  double value = 0;
  const bool is_valid = field->IsScalar() &&
                        YAML::convert<double>::decode(*field, value) &&
                        value >= min && value <= max;
  if (is_valid) return value;
  ReportError(name, "expected a number from " + FormatNumber(min) + " to " +
                        FormatNumber(max));
  return fallback;
}

bool YamlReader::Boolean(const std::string& name, bool fallback) {
  const std::optional<YAML::Node> field = Field(name);
  if (!field.has_value()) return fallback;
  bool value = false;
  if (field->IsScalar() && YAML::convert<bool>::decode(*field, value)) {
    return value;
  }
  ReportError(name, "expected true or false");
  return fallback;
}

std::vector<std::string> YamlReader::Strings(const std::string& name) {
  std::vector<std::string> strings;
  const std::optional<YAML::Node> field = Field(name);
  if (!field.has_value()) return strings;
  if (!field->IsSequence()) {
    ReportError(name, "expected a list");
    return strings;
  }
  for (const YAML::Node& element : *field) {
    if (element.IsScalar()) {
      strings.push_back(element.Scalar());
      continue;
    }
    ReportError(name, "expected a list of strings");
  }
  return strings;
}

std::optional<Endpoint> YamlReader::OptionalEndpoint(const std::string& name) {
  const std::string text = String(name, "");
  if (text.empty()) return std::nullopt;
  const Result<Endpoint> endpoint = ParseEndpoint(text);
  if (IsOk(endpoint)) return ValueOf(endpoint);
  ReportError(name, ErrorOf(endpoint).message);
  return std::nullopt;
}

Endpoint YamlReader::RequiredEndpoint(const std::string& name) {
  if (!Has(name)) ReportError(name, "is required");
  return OptionalEndpoint(name).value_or(Endpoint{});
}

std::vector<Endpoint> YamlReader::Endpoints(const std::string& name) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : Strings(name)) {
    const Result<Endpoint> endpoint = ParseEndpoint(text);
    if (IsOk(endpoint)) {
      endpoints.push_back(ValueOf(endpoint));
      continue;
    }
    ReportError(name, ErrorOf(endpoint).message);
  }
  return endpoints;
}

Result<Ok> YamlReader::Finish() {
  for (const auto& [path, mapping] : state_->visited_mappings) {
    const std::vector<std::string> requested_names(
        mapping.requested_names.begin(), mapping.requested_names.end());
    std::set<std::string> seen;
    for (const auto& field : mapping.node) {
      const std::string name =
          field.first.IsScalar() ? field.first.Scalar() : "?";
      // yaml-cpp would silently use the first of two values.
      if (!seen.insert(name).second) {
        state_->AddError(field.first.Mark().line,
                         path.empty() ? name : path + "." + name,
                         "duplicate field");
      }
      if (mapping.requested_names.count(name) > 0) continue;
      std::string message = "unknown field";
      const std::string_view nearest = NearestName(name, requested_names);
      if (!nearest.empty()) {
        message += "; the nearest known name is '" + std::string(nearest) + "'";
      }
      state_->AddError(field.first.Mark().line,
                       path.empty() ? name : path + "." + name, message);
    }
  }
  if (state_->errors.empty()) return Ok{};
  std::string text;
  for (const std::string& error : state_->errors) {
    if (!text.empty()) text += "\n";
    text += error;
  }
  return Error{ErrorCode::kInvalidInput, text};
}

}  // namespace medlarwinch
