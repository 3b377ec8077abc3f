#include "medlarwinch/cli/document_edit.h"

#include <sstream>

#include "medlarwinch/coordination/control_plane/document_fields.h"
#include "medlarwinch/protocol/document_parser.h"

namespace medlarwinch {
namespace {

size_t IndentationOf(const std::string& line) {
  return std::min(line.find_first_not_of(' '), line.size());
}

bool IsBlankOrComment(const std::string& line) {
  const size_t indent = IndentationOf(line);
  return indent == line.size() || line[indent] == '#';
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) lines.push_back(line);
  return lines;
}

std::string JoinLines(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines) text += line + "\n";
  return text;
}

// Returns the index after the last line of the value whose key is on line
// `begin` at the given indentation. The items of a list may have the same
// indentation as its key.
size_t EndOfValue(const std::vector<std::string>& lines, size_t begin,
                  size_t indent) {
  size_t end = begin + 1;
  for (size_t index = begin + 1; index < lines.size(); ++index) {
    if (IsBlankOrComment(lines[index])) continue;
    const size_t depth = IndentationOf(lines[index]);
    const bool is_part =
        depth > indent || (depth == indent && lines[index][depth] == '-');
    if (!is_part) break;
    end = index + 1;
  }
  return end;
}

// Replaces or adds the field `drain.upstreams`; the caller verifies the result.
std::vector<std::string> EditLines(std::vector<std::string> lines,
                                   const std::string& list) {
  size_t section = 0;
  while (section < lines.size() && lines[section].rfind("drain:", 0) != 0) {
    ++section;
  }
  if (section == lines.size()) {
    lines.push_back("drain:");
    lines.push_back("  upstreams: " + list);
    return lines;
  }
  const size_t end = EndOfValue(lines, section, 0);
  size_t indent = 2;
  for (size_t index = section + 1; index < end; ++index) {
    if (IsBlankOrComment(lines[index])) continue;
    indent = IndentationOf(lines[index]);
    if (lines[index].compare(indent, 10, "upstreams:") != 0) continue;
    const size_t value_end = EndOfValue(lines, index, indent);
    lines.erase(lines.begin() + static_cast<ptrdiff_t>(index),
                lines.begin() + static_cast<ptrdiff_t>(value_end));
    break;
  }
  lines.insert(lines.begin() + static_cast<ptrdiff_t>(section) + 1,
               std::string(indent, ' ') + "upstreams: " + list);
  return lines;
}

}  // namespace

Result<std::string> SetDrainedUpstreams(
    const std::string& text, const std::vector<Endpoint>& upstreams) {
  const Result<ServiceDocument> parsed_document =
      ParseServiceDocument("document", text);
  if (!IsOk(parsed_document)) return ErrorOf(parsed_document);
  ServiceDocument expected = ValueOf(parsed_document);
  expected.drain.upstreams = upstreams;
  std::vector<Endpoint> list = upstreams;
  const std::string edited =
      JoinLines(EditLines(SplitLines(text), FormatFieldValue(&list)));
  // EditLines() handles block style only; this detects any other style.
  const Result<ServiceDocument> check =
      ParseServiceDocument("document", edited);
  if (IsOk(check) && ValueOf(check) == expected) return edited;
  return FormatServiceDocument(expected);
}

}  // namespace medlarwinch
