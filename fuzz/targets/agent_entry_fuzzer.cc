// Input: the name of a store object on the first line, then its content, which
// is decoded as the entry of an agent.
#include "fuzz_input.h"
#include "medlarwinch/node/agent_registration.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwinch;  // NOLINT(google-build-using-namespace)
  const auto [name, content] = SplitFirstLine(ToText(data, size));
  ParseAgentEntryName(name);
  const Result<DirectoryEntry> decoded =
      DecodeAgentEntry(StoredObject{name, {1, 2}, content});
  if (!IsOk(decoded)) return 0;
  const DirectoryEntry& entry = ValueOf(decoded);
  Require(AgentEntryName(entry.agent) == name,
          "the entry is named by its agent");
  // The decoded entry has the hash of its service only.
  const std::string service = "probe-hub";
  DirectoryEntry expected = entry;
  expected.service = MakeServiceId(service);
  const Result<DirectoryEntry> again = DecodeAgentEntry(
      StoredObject{name, {1, 2}, EncodeAgentEntry(entry, service)});
  Require(IsOk(again) && ValueOf(again) == expected,
          "an encoded entry decodes to the same fields");
  return 0;
}
