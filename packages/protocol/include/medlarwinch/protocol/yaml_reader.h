#pragma once

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"

namespace medlarwinch {

/// Reads a YAML mapping field by field and collects every mistake with the
/// file, line and path and what is allowed. Fields that were not asked for are
/// mistakes; Finish() reports them with the nearest known name. So are fields
/// that stand twice.
class YamlReader {
 public:
  /// Parses `text`; `file` is used in messages only.
  YamlReader(std::string file, const std::string& text);

  /// Returns the reader of the mapping `name`; an absent mapping reads as an
  /// empty one.
  YamlReader Section(const std::string& name);
  /// Returns one reader for each element of the list of mappings `name`.
  std::vector<YamlReader> List(const std::string& name);

  /// True when the field is there and has a value.
  bool Has(const std::string& name) const;
  /// Returns the text of a field, or `fallback` when it is absent. Fails when
  /// it is not a scalar.
  std::string String(const std::string& name, const std::string& fallback);
  /// As String(), but the field must be there and not empty.
  std::string RequiredString(const std::string& name);
  int64_t Integer(const std::string& name, int64_t fallback, int64_t min,
                  int64_t max);
  double Number(const std::string& name, double fallback, double min,
                double max);
  bool Boolean(const std::string& name, bool fallback);
  std::vector<std::string> Strings(const std::string& name);
  std::optional<Endpoint> OptionalEndpoint(const std::string& name);
  /// As OptionalEndpoint(), but the field must be there.
  Endpoint RequiredEndpoint(const std::string& name);
  std::vector<Endpoint> Endpoints(const std::string& name);

  /// Adds a mistake at the field `name` (or at this mapping when empty).
  void ReportError(const std::string& name, const std::string& message);

  /// Returns Ok, or all mistakes of this reader and of the readers derived from
  /// it, one a line, as "file:line: path: message". Call it on the first reader
  /// after all fields were read.
  Result<Ok> Finish();

 private:
  struct ParseState;
  YamlReader(std::shared_ptr<ParseState> state, YAML::Node node,
             std::string path);

  std::optional<YAML::Node> Field(const std::string& name);
  std::string PathOf(const std::string& name) const;

  std::shared_ptr<ParseState> state_;
  YAML::Node node_;
  std::string path_;
};

/// Returns the element of `known` with the smallest edit distance to `name`,
/// or an empty view when none is near.
std::string_view NearestName(std::string_view name,
                             const std::vector<std::string>& known);

}  // namespace medlarwinch
