#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "medlarwinch/state/service_document.h"

namespace medlarwinch {

/// Pointer to the value of a field in a document.
using FieldRef = std::variant<std::string*, uint32_t*, double*, Millis*, bool*,
                              std::vector<Endpoint>*, std::vector<std::string>*,
                              std::vector<TenantLimit>*>;

/// Schema of one field of `Owner`. The parser, the error messages, the change
/// list and docs/configuration.md are all based on it.
template <typename Owner>
struct FieldSpec {
  /// Path in the document, such as "health.fail_after_ms".
  std::string path;
  /// Unit of the value, such as "ms"; "-" for none.
  std::string unit;
  /// Minimum and maximum: of the value, of the size in bytes for texts, or of
  /// the number of elements for lists. Unused for booleans.
  double min = 0;
  double max = 0;
  /// True when the field has no default.
  bool is_required = false;
  std::string description;
  /// Returns a pointer to the field's value.
  FieldRef (*locate)(Owner& owner) = nullptr;
};

using DocumentField = FieldSpec<ServiceDocument>;
/// Field of one element of `limits.tenants`. Its path is only the field name.
using TenantField = FieldSpec<TenantLimit>;

/// All fields of a service document in the order in which they are written.
const std::vector<DocumentField>& DocumentFields();

/// The fields of one element of `limits.tenants`.
const std::vector<TenantField>& TenantFields();

/// Formats a number with the fewest digits that parse back to the same value.
std::string FormatNumber(double value);

/// Formats a value as single-line YAML, with texts in quotes.
std::string FormatFieldValue(const FieldRef& value);

/// Describes the allowed values of a field, such as "a whole number from 1 to
/// 4".
std::string DescribeAllowedValues(const FieldRef& value, double min,
                                  double max);

/// Returns the cells of the field's row in docs/configuration.md: path, unit,
/// default, allowed values, description.
std::vector<std::string> DocumentationRow(const DocumentField& field);

/// Returns the cells of the row of a field of `limits.tenants`.
std::vector<std::string> DocumentationRow(const TenantField& field);

}  // namespace medlarwinch
