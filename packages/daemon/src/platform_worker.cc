#include "medlarwinch/daemon/platform_worker.h"

#include <utility>

#include "medlarwinch/coordination/control_plane/bootstrap_list.h"
#include "medlarwinch/coordination/control_plane/record_store.h"

namespace medlarwinch {
namespace {

// A stopping daemon waits for a pending watch, so the wait is short. One call
// in 2 s per watcher is small compared with the store's limit.
constexpr Millis kWatchWait{2'000};

void AddRecords(PlatformJobResult& result,
                const std::vector<PlatformObject>& objects) {
  for (const PlatformObject& object : objects) {
    result.records.push_back(Record{object.key, object.version, object.value});
  }
}

void ReadDocuments(PlatformClient& client, PlatformJobResult& result) {
  const Result<std::vector<PlatformObject>> documents =
      client.List(kDocumentPrefix);
  if (IsOk(documents)) {
    AddRecords(result, ValueOf(documents));
  } else {
    result.error = ErrorOf(documents);
  }
}

void ReadKeyRing(PlatformClient& client, PlatformJobResult& result) {
  const Result<PlatformObject> ring = client.Get(kKeyRingName);
  if (IsOk(ring)) {
    AddRecords(result, {ValueOf(ring)});
  } else if (ErrorOf(ring).code == ErrorCode::kNotFound) {
    result.key_ring_missing = true;
  } else {
    result.error = ErrorOf(ring);
  }
}

void ReadBootstrapList(PlatformClient& client, const PlatformJob& job,
                       PlatformJobResult& result) {
  const Result<PlatformObject> list =
      client.Get(kBootstrapPrefix + job.failure_domain);
  if (IsOk(list)) {
    result.bootstrap_list = ValueOf(list).value;
    result.bootstrap_list_version = ValueOf(list).version;
  } else if (ErrorOf(list).code != ErrorCode::kNotFound) {
    result.error = ErrorOf(list);
  }
}

void WatchDocuments(PlatformClient& client, const PlatformJob& job,
                    PlatformJobResult& result) {
  const Result<WatchResult> changes =
      client.Watch(kDocumentPrefix, job.revision, kWatchWait);
  if (!IsOk(changes)) {
    result.error = ErrorOf(changes);
    return;
  }
  result.revision = ValueOf(changes).revision;
  AddRecords(result, ValueOf(changes).objects);
}

void WriteBootstrapList(PlatformClient& client, const PlatformJob& job,
                        PlatformJobResult& result) {
  const Result<uint64_t> version =
      client.Put(kBootstrapPrefix + job.failure_domain, job.text,
                 job.if_version, job.operation);
  if (IsOk(version)) {
    result.bootstrap_list = job.text;
    result.bootstrap_list_version = ValueOf(version);
    return;
  }
  result.error = ErrorOf(version);
}

void CreateKeyRing(PlatformClient& client, const PlatformJob& job,
                   PlatformJobResult& result) {
  const Result<uint64_t> version =
      client.Put(kKeyRingName, job.text, 0, job.operation);
  if (IsOk(version)) {
    result.records.push_back(Record{kKeyRingName, ValueOf(version), job.text});
  } else if (ErrorOf(version).code == ErrorCode::kConflict) {
    // Another balancer created the key ring first; use that one.
    ReadKeyRing(client, result);
  } else {
    result.error = ErrorOf(version);
  }
}

}  // namespace

PlatformJobResult RunPlatformJob(PlatformClient& client,
                                 const PlatformJob& job) {
  PlatformJobResult result;
  result.kind = job.kind;
  result.revision = job.revision;
  switch (job.kind) {
    case PlatformJobKind::kReadAll:
      ReadDocuments(client, result);
      [[fallthrough]];
    case PlatformJobKind::kReadKeyRingAndBootstrap:
      // Skip the remaining reads after a failure, so that a platform that is
      // down is not called three times.
      if (!result.error.has_value()) ReadKeyRing(client, result);
      if (!result.error.has_value()) ReadBootstrapList(client, job, result);
      break;
    case PlatformJobKind::kWatch:
      WatchDocuments(client, job, result);
      break;
    case PlatformJobKind::kWriteBootstrap:
      WriteBootstrapList(client, job, result);
      break;
    case PlatformJobKind::kCreateKeyRing:
      CreateKeyRing(client, job, result);
      break;
  }
  return result;
}

}  // namespace medlarwinch
