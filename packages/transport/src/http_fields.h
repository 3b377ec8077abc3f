#pragma once

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/beast/http/fields.hpp>
#include <map>
#include <string>

namespace medlarwinch {

/// Returns the header fields with lower-case names.
inline std::map<std::string, std::string> ToHeaderMap(
    const boost::beast::http::fields& fields) {
  std::map<std::string, std::string> headers;
  for (const auto& field : fields) {
    headers[boost::algorithm::to_lower_copy(std::string(field.name_string()))] =
        std::string(field.value());
  }
  return headers;
}

}  // namespace medlarwinch
