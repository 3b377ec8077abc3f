#include "medlarwinch/cli/document_path.h"

#include <yaml-cpp/yaml.h>

#include "medlarwinch/coordination/control_plane/document_fields.h"
#include "medlarwinch/protocol/document_parser.h"

namespace medlarwinch {
namespace {

// Returns the line of the field in a valid document; 0 when it is not set.
int LineOf(const std::string& text, const std::string& path) {
  YAML::Node node = YAML::Load(text);
  size_t begin = 0;
  while (begin <= path.size()) {
    const size_t dot = std::min(path.find('.', begin), path.size());
    const std::string name = path.substr(begin, dot - begin);
    const YAML::Node& map = node;
    if (!node.IsMap() || !map[name].IsDefined()) return 0;
    for (const auto& field : node) {
      if (field.first.Scalar() != name) continue;
      if (dot == path.size()) return field.first.Mark().line + 1;
    }
    // Assignment would modify the tree; reset() only rebinds the handle.
    node.reset(map[name]);
    begin = dot + 1;
  }
  return 0;
}

}  // namespace

std::optional<DocumentPathValue> FindDocumentPath(const std::string& text,
                                                  const std::string& path) {
  const Result<ServiceDocument> parsed = ParseServiceDocument("", text);
  if (!IsOk(parsed)) return std::nullopt;
  ServiceDocument document = ValueOf(parsed);
  const std::string field_path = path.substr(0, path.find('['));
  for (const DocumentField& field : DocumentFields()) {
    if (field.path != field_path) continue;
    return DocumentPathValue{FormatFieldValue(field.locate(document)),
                             LineOf(text, field_path)};
  }
  return std::nullopt;
}

}  // namespace medlarwinch
