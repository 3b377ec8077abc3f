#include "medlarwinch/transport/udp_socket.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace medlarwinch {
namespace {

constexpr size_t kBatchSize = 32;
// The largest messages are ledger replies with a stored response of 4 KB.
constexpr size_t kMaxDatagramBytes = 6'144;
// Interval at which idle receiving threads check the stop flag.
constexpr int kPollMillis = 100;
// Thousands of packets can arrive between two reads when all cores are busy.
// The default buffer holds only a few hundred.
constexpr int kSocketBufferBytes = 8 * 1'024 * 1'024;

sockaddr_in ToSockaddr(const Endpoint& endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.ip);
  address.sin_port = htons(endpoint.port);
  return address;
}

Endpoint FromSockaddr(const sockaddr_in& address) {
  return Endpoint{ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

Error SystemError(const Endpoint& local, const char* action) {
  return Error{ErrorCode::kUnavailable, std::string("cannot ") + action + " " +
                                            ToString(local) + ": " +
                                            std::strerror(errno)};
}

}  // namespace

Result<std::unique_ptr<UdpSocket>> UdpSocket::Bind(const Endpoint& local) {
  const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (descriptor < 0) return SystemError(local, "create a UDP socket for");
  setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &kSocketBufferBytes,
             sizeof(kSocketBufferBytes));
  sockaddr_in address = ToSockaddr(local);
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0) {
    const Error error = SystemError(local, "bind UDP");
    close(descriptor);
    return error;
  }
  socklen_t size = sizeof(address);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  return std::unique_ptr<UdpSocket>(
      new UdpSocket(descriptor, FromSockaddr(address)));
}

UdpSocket::UdpSocket(int descriptor, const Endpoint& local)
    : descriptor_(descriptor), local_(local) {}

UdpSocket::~UdpSocket() {
  Stop();
  close(descriptor_);
}

void UdpSocket::Start(Handler handler, int threads) {
  for (int index = 0; index < threads; ++index) {
    threads_.emplace_back([this, handler] { ReadLoop(handler); });
  }
}

void UdpSocket::Stop() {
  stopping_ = true;
  for (std::thread& thread : threads_) thread.join();
  threads_.clear();
}

bool UdpSocket::Send(const Endpoint& to, ByteView datagram) const {
  const sockaddr_in address = ToSockaddr(to);
  const ssize_t sent =
      sendto(descriptor_, datagram.data(), datagram.size(), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (sent < 0) return false;
  sent_bytes_ += static_cast<uint64_t>(sent);
  ++sent_datagrams_;
  return true;
}

void UdpSocket::ReadLoop(const Handler& handler) {
  std::vector<std::array<uint8_t, kMaxDatagramBytes>> buffers(kBatchSize);
  std::array<sockaddr_in, kBatchSize> senders{};
  std::array<iovec, kBatchSize> iovecs{};
  std::array<mmsghdr, kBatchSize> messages{};
  for (size_t index = 0; index < kBatchSize; ++index) {
    iovecs[index] = {buffers[index].data(), kMaxDatagramBytes};
    messages[index].msg_hdr.msg_iov = &iovecs[index];
    messages[index].msg_hdr.msg_iovlen = 1;
    messages[index].msg_hdr.msg_name = &senders[index];
  }
  while (!stopping_) {
    pollfd readable{descriptor_, POLLIN, 0};
    if (poll(&readable, 1, kPollMillis) <= 0) continue;
    for (mmsghdr& message : messages) {
      message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count = recvmmsg(descriptor_, messages.data(), kBatchSize,
                               MSG_DONTWAIT, nullptr);
    for (int index = 0; index < count; ++index) {
      const size_t size = messages[index].msg_len;
      received_bytes_ += size;
      ++received_datagrams_;
      // No valid message is larger than the buffer.
      if ((messages[index].msg_hdr.msg_flags & MSG_TRUNC) != 0) continue;
      handler(FromSockaddr(senders[index]),
              ByteView(buffers[index].data(), size));
    }
  }
}

}  // namespace medlarwinch
