#pragma once

#include <map>
#include <string>

#include "medlarwinch/protocol/bytes.h"

namespace medlarwinch {

/// A whole HTTP/3 request.
struct Http3Request {
  std::string method;
  std::string path;
  std::string authority;
  std::map<std::string, std::string> headers;
  Bytes body;

  friend bool operator==(const Http3Request&, const Http3Request&) = default;
};

/// The head of an HTTP/3 response; its body follows in pieces.
struct Http3ResponseHead {
  int status = 200;
  std::map<std::string, std::string> headers;

  friend bool operator==(const Http3ResponseHead&,
                         const Http3ResponseHead&) = default;
};

/// Application error codes of RFC 9114 that callers tell apart.
inline constexpr uint64_t kH3NoError = 0x0100;
/// The request was not processed; it is the proof for Verdict::kNotRun.
inline constexpr uint64_t kH3RequestRejected = 0x010b;
inline constexpr uint64_t kH3RequestCancelled = 0x010c;

}  // namespace medlarwinch
