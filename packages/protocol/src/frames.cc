#include "medlarwinch/protocol/frames.h"

namespace medlarwinch {

Bytes EncodeFrame(const Frame& frame) { return Encode(frame); }

Result<Frame> DecodeFrame(ByteView bytes) { return Decode<Frame>(bytes); }

}  // namespace medlarwinch
