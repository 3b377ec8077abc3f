#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "medlarwinch/coordination/control_types.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {

/// Calls to the platform that the control plane makes.
enum class PlatformJobKind {
  /// Reads all documents, the key ring and the domain's bootstrap list.
  kReadAll,
  /// Reads the key ring and the domain's bootstrap list.
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
  /// For the writes.
  std::string text;
  uint64_t if_version = 0;
  std::string operation;
};

/// Result of a job.
struct PlatformJobResult {
  PlatformJobKind kind = PlatformJobKind::kReadAll;
  /// Set when the platform gave no usable answer.
  std::optional<Error> error;
  /// Documents and the key ring that were read.
  std::vector<Record> records;
  /// For kWatch.
  uint64_t revision = 0;
  /// The bootstrap list that was read or written; version 0 when there is none.
  std::string bootstrap;
  uint64_t bootstrap_version = 0;
  /// True when a read found no key ring.
  bool key_ring_missing = false;
};

/// Makes the calls of one job and waits for their answers.
PlatformJobResult RunPlatformJob(PlatformClient& client,
                                 const PlatformJob& job);

}  // namespace medlarwinch
