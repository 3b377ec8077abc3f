#include "medlarwinch/transport/text_file.h"

#include <fstream>
#include <sstream>

namespace medlarwinch {

Result<std::string> ReadTextFile(const std::string& file) {
  std::ifstream stream(file, std::ios::binary);
  if (!stream) return Error{ErrorCode::kNotFound, file + ": cannot be read"};
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace medlarwinch
