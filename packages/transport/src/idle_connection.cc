#include "medlarwinch/transport/idle_connection.h"

#include <sys/socket.h>
#include <sys/types.h>

#include <cerrno>

namespace medlarwinch {

bool IsIdleConnectionReusable(int native_handle) {
  char byte = 0;
  const ssize_t size = recv(native_handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}  // namespace medlarwinch
