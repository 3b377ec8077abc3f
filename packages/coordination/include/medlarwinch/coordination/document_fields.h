#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Where a field's value is kept in a document.
using FieldRef = std::variant<std::string*, uint32_t*, double*, Millis*, bool*,
                              std::vector<Endpoint>*, std::vector<std::string>*,
                              std::vector<TenantLimit>*>;

/// What operators may write into one field of `Owner`. The parser, the error
/// messages, the change list and docs/configuration.md all follow it.
template <typename Owner>
struct FieldSpec {
  /// Path in the document, such as "health.fail_after_ms".
  std::string path;
  /// Unit of the value, such as "ms"; "-" when it has none.
  std::string unit;
  /// Smallest and largest value; for texts the number of bytes, for lists the
  /// number of elements, unused for true and false.
  double min = 0;
  double max = 0;
  /// True when the field has no default.
  bool is_required = false;
  std::string description;
  /// Returns the place of the field's value.
  FieldRef (*locate)(Owner& owner) = nullptr;
};

using DocumentField = FieldSpec<ServiceDocument>;
/// Field of one element of `limits.tenants`; the path is the name alone.
using TenantField = FieldSpec<TenantLimit>;

/// All fields of a service document in the order in which they are written.
const std::vector<DocumentField>& DocumentFields();

/// The fields of one element of `limits.tenants`.
const std::vector<TenantField>& TenantFields();

/// Formats a number with the fewest digits that read back as the same value.
std::string FormatNumber(double value);

/// Formats a value as YAML on one line; texts are quoted.
std::string FormatFieldValue(const FieldRef& value);

/// Says what a field may hold, such as "a whole number from 1 to 4".
std::string AllowedValues(const FieldRef& value, double min, double max);

/// The cells of the field's row in docs/configuration.md: path, unit, default,
/// what is allowed, description.
std::vector<std::string> DocumentationRow(const DocumentField& field);

/// The cells of the row of a field of `limits.tenants`.
std::vector<std::string> DocumentationRow(const TenantField& field);

}  // namespace medlarwinch
