#pragma once

namespace medlarwinch {

/// Returns true if the peer of the idle TCP socket `native_handle` has neither
/// closed the connection nor sent unsolicited data. A late second copy of a
/// response would otherwise be read as the response to the next request.
bool IsIdleConnectionReusable(int native_handle);

}  // namespace medlarwinch
