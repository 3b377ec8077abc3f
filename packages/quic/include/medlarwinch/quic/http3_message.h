#pragma once

#include <map>
#include <string>

#include "medlarwinch/protocol/bytes.h"

namespace medlarwinch {

/// A complete HTTP/3 request.
struct Http3Request {
  std::string method;
  std::string path;
  std::string authority;
  std::map<std::string, std::string> headers;
  Bytes body;

  friend bool operator==(const Http3Request&, const Http3Request&) = default;
};

/// Status and header fields of an HTTP/3 response. The body follows in chunks.
struct Http3ResponseHead {
  int status = 200;
  std::map<std::string, std::string> headers;

  friend bool operator==(const Http3ResponseHead&,
                         const Http3ResponseHead&) = default;
};

/// Application error codes of RFC 9114 that callers handle differently.
inline constexpr uint64_t kH3NoError = 0x0100;
/// The request was not processed. This is the proof behind Verdict::kNotRun.
inline constexpr uint64_t kH3RequestRejected = 0x010b;
inline constexpr uint64_t kH3RequestCancelled = 0x010c;

}  // namespace medlarwinch
