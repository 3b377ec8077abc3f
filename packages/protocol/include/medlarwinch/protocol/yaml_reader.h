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

/// Reads a YAML mapping field by field and collects all errors, each with the
/// file, line, path and the allowed values. Finish() also reports duplicate
/// fields, and fields that were never read, with the nearest known name.
class YamlReader {
 public:
  /// Parses `text`. `file` is used only in error messages.
  YamlReader(std::string file, const std::string& text);

  /// Returns a reader for the mapping `name`. An absent mapping is read as an
  /// empty one.
  YamlReader Section(const std::string& name);
  /// Returns a reader for each element of `name`, a list of mappings.
  std::vector<YamlReader> List(const std::string& name);

  /// True if the field is present and not null.
  bool Has(const std::string& name) const;
  /// Returns the string value of a field, or `fallback` if it is absent.
  /// Reports an error if it is not a scalar.
  std::string String(const std::string& name, const std::string& fallback);
  /// Like String(), but reports an error if the field is absent or empty.
  std::string RequiredString(const std::string& name);
  int64_t Integer(const std::string& name, int64_t fallback, int64_t min,
                  int64_t max);
  double Number(const std::string& name, double fallback, double min,
                double max);
  bool Boolean(const std::string& name, bool fallback);
  std::vector<std::string> Strings(const std::string& name);
  std::optional<Endpoint> OptionalEndpoint(const std::string& name);
  /// Like OptionalEndpoint(), but reports an error if the field is absent.
  Endpoint RequiredEndpoint(const std::string& name);
  std::vector<Endpoint> Endpoints(const std::string& name);

  /// Adds an error for the field `name`, or for this mapping if `name` is
  /// empty.
  void ReportError(const std::string& name, const std::string& message);

  /// Returns Ok, or all errors of this reader and of the readers derived from
  /// it, one per line as "file:line: path: message". Must be called on the root
  /// reader after all fields have been read.
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

/// Returns the element of `known` with the smallest edit distance to `name`, or
/// an empty view if none is close enough.
std::string_view NearestName(std::string_view name,
                             const std::vector<std::string>& known);

}  // namespace medlarwinch
