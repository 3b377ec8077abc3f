#include "medlarwinch/protocol/codec.h"

namespace medlarwinch {

ByteReadBuffer::ByteReadBuffer(ByteView bytes) {
  // setg() requires a mutable pointer. The get area is never written to.
  char* begin = const_cast<char*>(reinterpret_cast<const char*>(bytes.data()));
  setg(begin, begin, begin + bytes.size());
}

std::streamsize ByteWriteBuffer::xsputn(const char* data,
                                        std::streamsize count) {
  bytes_.insert(bytes_.end(), data, data + count);
  return count;
}

ByteWriteBuffer::int_type ByteWriteBuffer::overflow(int_type character) {
  if (character == traits_type::eof()) return traits_type::not_eof(character);
  bytes_.push_back(static_cast<uint8_t>(character));
  return character;
}

}  // namespace medlarwinch
