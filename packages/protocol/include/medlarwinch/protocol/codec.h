#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cmath>
#include <exception>
#include <istream>
#include <ostream>
#include <streambuf>
#include <string>
#include <type_traits>
#include <utility>

#include "medlarwinch/protocol/bytes.h"
#include "medlarwinch/state/result.h"

namespace cereal {

// These overloads are preferred over cereal's template for all arithmetic
// types, which copies the bytes unchecked, in every message.

/// Decodes a boolean. Throws Exception for a byte other than 0 and 1, which
/// would be undefined behaviour in a bool.
inline void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive& archive,
                                      bool& value) {
  uint8_t value_on_wire = 0;
  archive(value_on_wire);
  if (value_on_wire > 1) {
    throw Exception("boolean has the value " + std::to_string(value_on_wire));
  }
  value = value_on_wire == 1;
}

/// Decodes a number. Throws Exception for one that is not finite: comparisons
/// with it are not a strict weak ordering, which sorting needs.
inline void CEREAL_LOAD_FUNCTION_NAME(PortableBinaryInputArchive& archive,
                                      double& value) {
  archive.loadBinary<sizeof(double)>(&value, sizeof(double));
  if (!std::isfinite(value)) throw Exception("number is not finite");
}

}  // namespace cereal

namespace medlarwinch {

/// Stream buffer that reads from caller-owned bytes without copying them.
class ByteReadBuffer : public std::streambuf {
 public:
  explicit ByteReadBuffer(ByteView bytes);

  /// True once all bytes have been read.
  bool AtEnd() const { return gptr() == egptr(); }
};

/// Stream buffer that appends to a caller-owned byte vector.
class ByteWriteBuffer : public std::streambuf {
 public:
  explicit ByteWriteBuffer(Bytes& bytes) : bytes_(bytes) {}

 protected:
  std::streamsize xsputn(const char* data, std::streamsize count) override;
  int_type overflow(int_type character) override;

 private:
  Bytes& bytes_;
};

/// Maximum size of a std::string inside a bounded container, in bytes.
inline constexpr uint32_t kMaxNestedStringBytes = 256;

/// Archive wrapper that checks the decoded size of a container against a bound
/// before allocating its elements.
template <typename Container>
struct BoundedContainer {
  Container& container;
  uint32_t max_size;
};

/// True for containers that are encoded as one block of bytes. The encoding
/// equals that of the individual elements.
template <typename Container>
inline constexpr bool kIsByteContainer =
    std::is_same_v<std::remove_const_t<Container>, Bytes> ||
    std::is_same_v<std::remove_const_t<Container>, std::string>;

/// Wraps `container` for an archive. Encoding or decoding more than `max_size`
/// elements throws cereal::Exception.
template <typename Container>
BoundedContainer<Container> Bounded(Container& container, uint32_t max_size) {
  return BoundedContainer<Container>{container, max_size};
}

template <typename Archive, typename Container>
void CEREAL_SAVE_FUNCTION_NAME(Archive& archive,
                               const BoundedContainer<Container>& bounded) {
  if (bounded.container.size() > bounded.max_size) {
    throw cereal::Exception(
        "container of " + std::to_string(bounded.container.size()) +
        " elements exceeds its bound of " + std::to_string(bounded.max_size));
  }
  archive(static_cast<uint32_t>(bounded.container.size()));
  if constexpr (kIsByteContainer<Container>) {
    archive(cereal::binary_data(bounded.container.data(),
                                bounded.container.size()));
    return;
  }
  for (const auto& element : bounded.container) {
    if constexpr (std::is_same_v<std::decay_t<decltype(element)>,
                                 std::string>) {
      archive(Bounded(element, kMaxNestedStringBytes));
    } else {
      archive(element);
    }
  }
}

template <typename Archive, typename Container>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive,
                               BoundedContainer<Container>& bounded) {
  uint32_t size = 0;
  archive(size);
  if (size > bounded.max_size) {
    throw cereal::Exception("container of " + std::to_string(size) +
                            " elements exceeds its bound of " +
                            std::to_string(bounded.max_size));
  }
  bounded.container.clear();
  if constexpr (kIsByteContainer<Container>) {
    bounded.container.resize(size);
    archive(cereal::binary_data(bounded.container.data(), size));
    return;
  }
  for (uint32_t index = 0; index < size; ++index) {
    typename std::remove_const_t<Container>::value_type element{};
    if constexpr (std::is_same_v<decltype(element), std::string>) {
      archive(Bounded(element, kMaxNestedStringBytes));
    } else {
      archive(element);
    }
    bounded.container.push_back(std::move(element));
  }
}

/// Archive wrapper that checks a decoded enumerator against the largest known
/// one.
template <typename Enum>
struct BoundedEnumerator {
  Enum& value;
  Enum last;
};

/// Wraps `value` for an archive. Decoding a value above `last` throws
/// cereal::Exception.
template <typename Enum>
BoundedEnumerator<Enum> BoundedEnum(Enum& value, Enum last) {
  return BoundedEnumerator<Enum>{value, last};
}

template <typename Archive, typename Enum>
void CEREAL_SAVE_FUNCTION_NAME(Archive& archive,
                               const BoundedEnumerator<Enum>& enumerator) {
  archive(static_cast<uint8_t>(enumerator.value));
}

template <typename Archive, typename Enum>
void CEREAL_LOAD_FUNCTION_NAME(Archive& archive,
                               BoundedEnumerator<Enum>& enumerator) {
  uint8_t value_on_wire = 0;
  archive(value_on_wire);
  if (value_on_wire > static_cast<uint8_t>(enumerator.last)) {
    throw cereal::Exception("enumerator " + std::to_string(value_on_wire) +
                            " is unknown");
  }
  enumerator.value = static_cast<Enum>(value_on_wire);
}

/// Appends the encoding of `message` to `bytes`. Throws cereal::Exception if a
/// container exceeds its bound, which is a bug in the caller.
template <typename Message>
void EncodeTo(const Message& message, Bytes& bytes) {
  ByteWriteBuffer buffer(bytes);
  std::ostream stream(&buffer);
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(message);
}

/// Returns the encoding of `message`. See EncodeTo().
template <typename Message>
Bytes Encode(const Message& message) {
  Bytes bytes;
  bytes.reserve(256);
  EncodeTo(message, bytes);
  return bytes;
}

/// Decodes one message that spans all of `bytes`. Fails with kInvalidInput on
/// any other input. Never reads past the end, and never allocates more than the
/// bounds of the message's containers allow.
template <typename Message>
Result<Message> Decode(ByteView bytes) {
  try {
    ByteReadBuffer buffer(bytes);
    std::istream stream(&buffer);
    cereal::PortableBinaryInputArchive archive(stream);
    Message message{};
    archive(message);
    if (!buffer.AtEnd()) {
      return Error{ErrorCode::kInvalidInput,
                   "trailing bytes after the message"};
    }
    return message;
  } catch (const std::exception& exception) {
    return Error{ErrorCode::kInvalidInput, exception.what()};
  }
}

}  // namespace medlarwinch
