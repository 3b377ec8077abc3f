#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_plane/control_types.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {

/// Kinds of platform calls that the control plane makes.
enum class PlatformJobKind {
  /// Reads all documents, the key ring and the failure domain's bootstrap list.
  kReadAll,
  /// Reads the key ring and the failure domain's bootstrap list.
  kReadKeyRingAndBootstrap,
  /// Waits for changed documents.
  kWatch,
  /// Writes the bootstrap list.
  kWriteBootstrap,
  /// Creates the key ring.
  kCreateKeyRing,
};

struct PlatformJob {
  PlatformJobKind kind = PlatformJobKind::kReadAll;
  std::string failure_domain;
  /// For kWatch.
  uint64_t revision = 0;
  /// For writes.
  std::string text;
  uint64_t if_version = 0;
  std::string operation;
};

/// Result of a job.
struct PlatformJobResult {
  PlatformJobKind kind = PlatformJobKind::kReadAll;
  /// Set if the platform gave no usable response.
  std::optional<Error> error;
  /// Documents and the key ring that were read.
  std::vector<Record> records;
  /// For kWatch.
  uint64_t revision = 0;
  /// The bootstrap list that was read or written; version 0 if there is none.
  std::string bootstrap_list;
  uint64_t bootstrap_list_version = 0;
  /// True if a read found no key ring.
  bool key_ring_missing = false;
};

/// Executes one job; blocks until the platform has responded to all its calls.
PlatformJobResult RunPlatformJob(PlatformClient& client,
                                 const PlatformJob& job);

}  // namespace medlarwinch
