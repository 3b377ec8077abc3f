#include "medlarwinch/cli/drain_command.h"

#include <algorithm>

#include "medlarwinch/cli/document_edit.h"
#include "medlarwinch/cli/get_command.h"
#include "medlarwinch/protocol/document_parser.h"

namespace medlarwinch {

Result<ApplyReport> RunDrain(const CommandContext& context,
                             const std::string& service,
                             const Endpoint& upstream, bool is_undrain) {
  const Result<GetReport> current = RunGet(context, service);
  if (!IsOk(current)) return ErrorOf(current);
  const GetReport& current_report = ValueOf(current);
  const std::string key = DocumentKey(service);
  const Result<ServiceDocument> document =
      ParseServiceDocument(key, current_report.text);
  if (!IsOk(document)) return ErrorOf(document);
  std::vector<Endpoint> drained = ValueOf(document).drain.upstreams;
  const auto found = std::find(drained.begin(), drained.end(), upstream);
  const bool is_drained = found != drained.end();
  if (is_drained && is_undrain) drained.erase(found);
  if (!is_drained && !is_undrain) drained.push_back(upstream);
  if (drained == ValueOf(document).drain.upstreams) {
    ApplyReport unchanged;
    unchanged.outcome = ApplyOutcome::kUnchanged;
    unchanged.service = service;
    unchanged.version = current_report.version;
    unchanged.expected_version = current_report.version;
    return unchanged;
  }
  Result<std::string> edited =
      SetDrainedUpstreams(current_report.text, drained);
  if (!IsOk(edited)) return ErrorOf(edited);
  return ApplyText(context, key, TakeValue(std::move(edited)),
                   current_report.version);
}

}  // namespace medlarwinch
