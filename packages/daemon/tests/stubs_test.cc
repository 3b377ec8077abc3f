// Stand-ins for the parts that another branch implements: a platform in memory
// and a parser that reads the service name only.
#include <map>
#include <mutex>
#include <thread>

#include "medlarwinch/protocol/document_parser.h"
#include "medlarwinch/transport/platform_client.h"

namespace medlarwinch {
namespace {

std::mutex g_mutex;
std::map<std::string, PlatformObject> g_objects;
uint64_t g_revision = 0;

}  // namespace

PlatformClient::PlatformClient(const PlatformClientOptions& options)
    : options_(options) {}

Result<PlatformObject> PlatformClient::Get(const std::string& key) {
  const std::lock_guard<std::mutex> lock(g_mutex);
  const auto found = g_objects.find(key);
  if (found == g_objects.end()) return Error{ErrorCode::kNotFound, key};
  return found->second;
}

Result<std::vector<PlatformObject>> PlatformClient::List(
    const std::string& prefix) {
  const std::lock_guard<std::mutex> lock(g_mutex);
  std::vector<PlatformObject> objects;
  for (const auto& [key, object] : g_objects) {
    if (key.compare(0, prefix.size(), prefix) == 0) objects.push_back(object);
  }
  return objects;
}

Result<uint64_t> PlatformClient::Put(const std::string& key,
                                     const std::string& value,
                                     uint64_t if_version,
                                     const std::string& operation) {
  const std::lock_guard<std::mutex> lock(g_mutex);
  const auto found = g_objects.find(key);
  const uint64_t current = found == g_objects.end() ? 0 : found->second.version;
  if (current != if_version) return Error{ErrorCode::kConflict, key};
  g_objects[key] = PlatformObject{key, ++g_revision, value, operation};
  return g_revision;
}

Result<WatchResult> PlatformClient::Watch(const std::string& prefix,
                                          uint64_t revision, Millis wait) {
  for (int64_t waited = 0;; waited += 10) {
    WatchResult result{revision, {}};
    {
      const std::lock_guard<std::mutex> lock(g_mutex);
      for (const auto& [key, object] : g_objects) {
        const bool is_match = key.compare(0, prefix.size(), prefix) == 0;
        if (!is_match || object.version <= revision) continue;
        result.objects.push_back(object);
        result.revision = std::max(result.revision, object.version);
      }
    }
    if (!result.objects.empty() || waited >= wait.value) return result;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

Result<ServiceDocument> ParseServiceDocument(const std::string& file,
                                             const std::string& text) {
  constexpr std::string_view kField = "service: ";
  if (text.compare(0, kField.size(), kField) != 0) {
    return Error{ErrorCode::kInvalidInput, file + ":1: service: is missing"};
  }
  ServiceDocument document;
  document.service =
      text.substr(kField.size(), text.find('\n') - kField.size());
  return document;
}

}  // namespace medlarwinch
