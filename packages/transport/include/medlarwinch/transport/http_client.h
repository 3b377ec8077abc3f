#pragma once

#include <string>

#include "medlarwinch/state/clock.h"
#include "medlarwinch/state/endpoint.h"
#include "medlarwinch/state/result.h"
#include "medlarwinch/transport/http_server.h"

namespace medlarwinch {

/// Sends one request on a new connection and blocks until the complete response
/// has been received. Fails with kUnavailable if the connection can't be
/// established, so that the request has not been received. Fails with kTimeout
/// if the response is lost or does not arrive within `timeout`, in which case
/// the request may have taken effect.
Result<HttpResponse> SendHttpRequest(const Endpoint& server,
                                     const HttpRequest& request,
                                     Millis timeout);

}  // namespace medlarwinch
