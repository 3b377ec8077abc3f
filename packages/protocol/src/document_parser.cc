#include "medlarwinch/protocol/document_parser.h"

#include <cctype>
#include <map>
#include <set>

#include "medlarwinch/coordination/control_plane/document_fields.h"
#include "medlarwinch/protocol/yaml_reader.h"

namespace medlarwinch {
namespace {

// A document with every field at its bound is smaller than this. The platform
// stores values of up to 1 MB.
constexpr size_t kMaxDocumentBytes = 256 * 1'024;

bool HasControlCharacter(const std::string& text) {
  for (const char character : text) {
    if (std::iscntrl(static_cast<unsigned char>(character)) != 0) return true;
  }
  return false;
}

// Restricts service names to characters that are safe in platform keys. The
// name is also part of the input to the MAC of flow identifiers.
bool IsValidServiceName(const std::string& text) {
  if (text.empty() || text.front() < 'a' || text.front() > 'z') return false;
  for (const char character : text) {
    const bool is_allowed = (character >= 'a' && character <= 'z') ||
                            (character >= '0' && character <= '9') ||
                            character == '-';
    if (!is_allowed) return false;
  }
  return true;
}

// Visitor that reads one field into its destination and reports errors.
struct FieldReader {
  YamlReader& reader;
  std::string name;
  double min;
  double max;
  bool is_required;

  void ReportNotAllowed(const FieldRef& value) const {
    reader.ReportError(name,
                       "expected " + DescribeAllowedValues(value, min, max));
  }

  // Returns true if the field is absent, which is an error if it is required.
  bool CheckMissing() const {
    if (reader.Has(name)) return false;
    if (is_required) reader.ReportError(name, "is required");
    return true;
  }

  template <typename T>
  void CheckList(std::vector<T>* list) const {
    const std::set<T> distinct(list->begin(), list->end());
    const double count = static_cast<double>(list->size());
    const bool is_allowed =
        count >= min && count <= max && distinct.size() == list->size();
    if (!is_allowed) ReportNotAllowed(list);
  }

  void operator()(std::string* text) const {
    *text = reader.String(name, *text);
    if (CheckMissing()) return;
    const double size = static_cast<double>(text->size());
    if (size < min || size > max) ReportNotAllowed(text);
    if (HasControlCharacter(*text)) {
      reader.ReportError(name, "must not contain control characters");
    }
  }
  void operator()(uint32_t* number) const {
    *number = static_cast<uint32_t>(reader.Integer(
        name, *number, static_cast<int64_t>(min), static_cast<int64_t>(max)));
  }
  void operator()(double* number) const {
    *number = reader.Number(name, *number, min, max);
    CheckMissing();
  }
  void operator()(Millis* duration) const {
    duration->value =
        reader.Integer(name, duration->value, static_cast<int64_t>(min),
                       static_cast<int64_t>(max));
  }
  void operator()(bool* flag) const { *flag = reader.Boolean(name, *flag); }
  void operator()(std::vector<Endpoint>* endpoints) const {
    *endpoints = reader.Endpoints(name);
    if (!CheckMissing()) CheckList(endpoints);
  }
  void operator()(std::vector<std::string>* names) const {
    *names = reader.Strings(name);
    if (!CheckMissing()) CheckList(names);
  }
  void operator()(std::vector<TenantLimit>* tenants) const;
};

template <typename Owner>
void ReadField(YamlReader& reader, const std::string& name,
               const FieldSpec<Owner>& field, Owner& owner) {
  const FieldReader field_reader{reader, name, field.min, field.max,
                                 field.is_required};
  std::visit(field_reader, field.locate(owner));
}

void FieldReader::operator()(std::vector<TenantLimit>* tenants) const {
  std::set<std::string> names;
  for (YamlReader& element : reader.List(name)) {
    TenantLimit tenant;
    for (const TenantField& field : TenantFields()) {
      ReadField(element, field.path, field, tenant);
    }
    names.insert(tenant.name);
    tenants->push_back(tenant);
  }
  const double count = static_cast<double>(tenants->size());
  if (count > max || names.size() != tenants->size()) ReportNotAllowed(tenants);
}

// Caches the readers of nested sections, so that an error in a section is
// reported only once.
class SectionReaders {
 public:
  explicit SectionReaders(const YamlReader& root) {
    readers_.emplace("", root);
  }

  YamlReader& SectionOf(const std::string& path) {
    const size_t dot = path.rfind('.');
    if (dot == std::string::npos) return readers_.at("");
    return Reader(path.substr(0, dot));
  }

 private:
  YamlReader& Reader(const std::string& section) {
    const auto found = readers_.find(section);
    if (found != readers_.end()) return found->second;
    YamlReader& parent = SectionOf(section);
    const std::string name = section.substr(section.rfind('.') + 1);
    return readers_.emplace(section, parent.Section(name)).first->second;
  }

  std::map<std::string, YamlReader> readers_;
};

std::string Indent(size_t depth) { return std::string(2 * depth, ' '); }

// Appends the headers of those sections of `path` that are not in
// `open_sections`, and updates it.
void AppendSectionHeaders(const std::string& path,
                          std::vector<std::string>& open_sections,
                          std::string& text) {
  std::vector<std::string> sections;
  size_t begin = 0;
  for (size_t dot = path.find('.'); dot != std::string::npos;
       dot = path.find('.', begin)) {
    sections.push_back(path.substr(begin, dot - begin));
    begin = dot + 1;
  }
  size_t common_depth = 0;
  while (common_depth < open_sections.size() &&
         common_depth < sections.size() &&
         open_sections[common_depth] == sections[common_depth]) {
    ++common_depth;
  }
  for (size_t depth = common_depth; depth < sections.size(); ++depth) {
    text += Indent(depth) + sections[depth] + ":\n";
  }
  open_sections = sections;
}

}  // namespace

Result<ServiceDocument> ParseServiceDocument(const std::string& file,
                                             const std::string& text) {
  if (text.size() > kMaxDocumentBytes) {
    return Error{ErrorCode::kInvalidInput,
                 file + ":1: the document has " + std::to_string(text.size()) +
                     " bytes; at most " + std::to_string(kMaxDocumentBytes) +
                     " are allowed"};
  }
  YamlReader root(file, text);
  SectionReaders sections(root);
  ServiceDocument document;
  for (const DocumentField& field : DocumentFields()) {
    const std::string name = field.path.substr(field.path.rfind('.') + 1);
    ReadField(sections.SectionOf(field.path), name, field, document);
  }
  if (!document.service.empty() && !IsValidServiceName(document.service)) {
    root.ReportError(
        "service",
        "expected lower-case letters, digits and hyphens, beginning with "
        "a letter");
  }
  const Result<Ok> finished = root.Finish();
  if (!IsOk(finished)) return ErrorOf(finished);
  return document;
}

std::string FormatServiceDocument(const ServiceDocument& document) {
  ServiceDocument copy = document;
  std::string text;
  std::vector<std::string> open_sections;
  for (const DocumentField& field : DocumentFields()) {
    AppendSectionHeaders(field.path, open_sections, text);
    const std::string name = field.path.substr(field.path.rfind('.') + 1);
    text += Indent(open_sections.size()) + name + ": " +
            FormatFieldValue(field.locate(copy)) + "\n";
  }
  return text;
}

}  // namespace medlarwinch
