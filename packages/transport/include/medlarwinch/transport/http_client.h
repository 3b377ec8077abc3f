#pragma once

#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// Sends one request on a connection of its own and waits for the whole answer.
/// Fails with kUnavailable when no connection could be made, so that the
/// request was not received, and with kTimeout when the answer was lost or did
/// not arrive within `timeout`: the request may have taken effect.
Result<HttpResponse> SendHttpRequest(const Endpoint& server,
                                     const HttpRequest& request,
                                     Millis timeout);

}  // namespace medlarwinch
