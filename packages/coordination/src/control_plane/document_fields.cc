#include "medlarwinch/coordination/control_plane/document_fields.h"

#include <charconv>
#include <cmath>

namespace medlarwinch {
namespace {

using Doc = ServiceDocument;

constexpr double kMaxNameBytes = 64;
constexpr double kMaxOwnerBytes = 128;
constexpr double kMaxAddresses = 64;
constexpr double kMaxFailureDomains = 64;
constexpr double kMaxDrainedUpstreams = 1'024;
constexpr double kMaxTenants = 256;
constexpr double kMaxRate = 1'000'000;
// The routing header has room for 4 candidates of the current table.
constexpr double kMaxCandidates = 4;
// Upstreams send one heartbeat per second, so a shorter time would withdraw an
// upstream after a single lost heartbeat.
constexpr double kMinFailAfterMs = 2'000;
constexpr double kHourMs = 3'600'000;
constexpr double kDayMs = 24 * kHourMs;
constexpr double kTenMinutesMs = 600'000;
// A request and its header must fit into one packet of 1,200 bytes.
constexpr double kMaxRequestBodyBytes = 1'000;
// At 64 bytes per key, this limits the ledger of an agent to 6.4 MB.
constexpr double kMaxIdempotencyKeys = 100'000;

std::vector<DocumentField> MakeIdentityFields() {
  return {
      {"service", "-", 1, kMaxNameBytes, true,
       "Name of the service: lower-case letters, digits and hyphens, beginning "
       "with a letter.",
       [](Doc& d) -> FieldRef { return &d.service; }},
      {"owner", "-", 1, kMaxOwnerBytes, true, "Team that owns the service.",
       [](Doc& d) -> FieldRef { return &d.owner; }},
      {"addresses", "IPv4:port", 1, kMaxAddresses, true,
       "Addresses at which callers reach the service.",
       [](Doc& d) -> FieldRef { return &d.addresses; }},
      {"domains", "-", 0, kMaxFailureDomains, false,
       "Names of the failure domains that the service is in.",
       [](Doc& d) -> FieldRef { return &d.failure_domains; }},
  };
}

std::vector<DocumentField> MakePlacementFields() {
  return {
      {"balance.margin_percent", "percent", 0, 100, false,
       "An upstream accepts a new flow while its flows per slot are at most "
       "this much above the mean of the service.",
       [](Doc& d) -> FieldRef { return &d.balance.margin_percent; }},
      {"balance.candidates", "upstreams", 1, kMaxCandidates, false,
       "Upstreams that are tried in turn for a new flow.",
       [](Doc& d) -> FieldRef { return &d.balance.candidates; }},
      {"balance.max_moved_percent", "percent", 0, 100, false,
       "A change that moves more than this share of new flows to other "
       "upstreams needs confirm.moved_percent.",
       [](Doc& d) -> FieldRef { return &d.balance.max_moved_percent; }},
      {"health.fail_after_ms", "ms", kMinFailAfterMs, kTenMinutesMs, false,
       "Time without a heartbeat after which an upstream is suspected.",
       [](Doc& d) -> FieldRef { return &d.health.fail_after; }},
      {"health.max_withdrawn_percent", "percent", 0, 100, false,
       "Largest share of the slots that may be withdrawn for missing "
       "heartbeats or errors.",
       [](Doc& d) -> FieldRef { return &d.health.max_withdrawn_percent; }},
      {"health.outlier.error_percent", "percent", 1, 100, false,
       "Share of failed requests from which an upstream is ejected.",
       [](Doc& d) -> FieldRef { return &d.health.outlier.error_percent; }},
      {"health.outlier.min_requests", "requests", 1, kMaxRate, false,
       "Requests within the window below which no upstream is ejected.",
       [](Doc& d) -> FieldRef { return &d.health.outlier.min_requests; }},
      {"health.outlier.window_ms", "ms", 1'000, kTenMinutesMs, false,
       "Span over which the share of failed requests is computed.",
       [](Doc& d) -> FieldRef { return &d.health.outlier.window; }},
      {"health.outlier.ejection_ms", "ms", 1'000, kHourMs, false,
       "Time for which an ejected upstream gets no new work.",
       [](Doc& d) -> FieldRef { return &d.health.outlier.ejection; }},
      {"slow_start.window_ms", "ms", 0, kHourMs, false,
       "Time in which the share of a new upstream grows to its full value.",
       [](Doc& d) -> FieldRef { return &d.slow_start.window; }},
      {"slow_start.initial_percent", "percent", 1, 100, false,
       "Share that a new upstream begins with.",
       [](Doc& d) -> FieldRef { return &d.slow_start.initial_percent; }},
  };
}

std::vector<DocumentField> MakeRequestFields() {
  return {
      {"limits.max_flows_per_slot", "flows", 1, kMaxRate, false,
       "Flows of one slot above which an upstream accepts no new flow.",
       [](Doc& d) -> FieldRef { return &d.limits.max_flows_per_slot; }},
      {"limits.max_requests_per_slot", "requests", 1, kMaxRate, false,
       "Requests in progress of one slot above which an upstream sheds new "
       "ones.",
       [](Doc& d) -> FieldRef { return &d.limits.max_requests_per_slot; }},
      {"limits.tenants", "-", 0, kMaxTenants, false,
       "Tenants with a request rate of their own.",
       [](Doc& d) -> FieldRef { return &d.limits.tenants; }},
      {"requests.timeout_ms", "ms", 10, kDayMs, false,
       "Deadline of a request that names none.",
       [](Doc& d) -> FieldRef { return &d.requests.timeout; }},
      {"requests.max_body_bytes", "bytes", 0, kMaxRequestBodyBytes, false,
       "Largest body of a request.",
       [](Doc& d) -> FieldRef { return &d.requests.max_body_bytes; }},
      {"retry.budget_percent", "percent", 0, 100, false,
       "Retries allowed as a share of successful requests.",
       [](Doc& d) -> FieldRef { return &d.retry.budget_percent; }},
      {"retry.min_per_s", "retries/s", 0, kMaxRate, false,
       "Retries allowed when there are few successful requests.",
       [](Doc& d) -> FieldRef { return &d.retry.min_per_second; }},
      {"idempotency.retention_ms", "ms", 1'000, kDayMs, false,
       "Time for which idempotency keys are remembered.",
       [](Doc& d) -> FieldRef { return &d.idempotency.retention; }},
      {"idempotency.max_keys", "keys", 1, kMaxIdempotencyKeys, false,
       "Keys that one agent remembers; above it, non-repeatable requests are "
       "shed.",
       [](Doc& d) -> FieldRef { return &d.idempotency.max_keys; }},
      {"drain.upstreams", "IPv4:port", 0, kMaxDrainedUpstreams, false,
       "Listeners of the upstreams that take no new work.",
       [](Doc& d) -> FieldRef { return &d.drain.upstreams; }},
      {"drain.deadline_ms", "ms", 0, kDayMs, false,
       "Time after which requests in progress at a draining upstream are cut; "
       "0 waits for their end.",
       [](Doc& d) -> FieldRef { return &d.drain.deadline; }},
      {"confirm.empty_service", "-", 0, 1, false,
       "Consent to a change that leaves the service without an upstream.",
       [](Doc& d) -> FieldRef { return &d.confirm.empty_service; }},
      {"confirm.moved_percent", "percent", 0, 100, false,
       "Consent to a change that moves up to this share of new flows.",
       [](Doc& d) -> FieldRef { return &d.confirm.moved_percent; }},
  };
}

std::vector<DocumentField> MakeDocumentFields() {
  std::vector<DocumentField> fields = MakeIdentityFields();
  for (const DocumentField& field : MakePlacementFields()) {
    fields.push_back(field);
  }
  for (const DocumentField& field : MakeRequestFields()) {
    fields.push_back(field);
  }
  return fields;
}

std::vector<TenantField> MakeTenantFields() {
  return {
      {"name", "-", 1, kMaxNameBytes, true,
       "Name of the tenant, as requests carry it.",
       [](TenantLimit& t) -> FieldRef { return &t.name; }},
      {"requests_per_s", "requests/s", 0, kMaxRate, true,
       "Requests per second of the tenant at one upstream.",
       [](TenantLimit& t) -> FieldRef { return &t.requests_per_second; }},
      {"burst", "requests", 1, kMaxRate, true,
       "Requests that the tenant may send at once.",
       [](TenantLimit& t) -> FieldRef { return &t.burst; }},
  };
}

std::string Quote(const std::string& text) {
  std::string quoted = "\"";
  for (const char character : text) {
    if (character == '"' || character == '\\') quoted += '\\';
    quoted += character;
  }
  return quoted + '"';
}

std::string FormatTenant(TenantLimit tenant) {
  std::string text;
  for (const TenantField& field : TenantFields()) {
    text += text.empty() ? "{" : ", ";
    text += field.path + ": " + FormatFieldValue(field.locate(tenant));
  }
  return text + "}";
}

struct ValueFormatter {
  std::string operator()(const std::string* text) const { return Quote(*text); }
  std::string operator()(const uint32_t* number) const {
    return std::to_string(*number);
  }
  std::string operator()(const double* number) const {
    return FormatNumber(*number);
  }
  std::string operator()(const Millis* span) const {
    return std::to_string(span->value);
  }
  std::string operator()(const bool* flag) const {
    return *flag ? "true" : "false";
  }
  std::string operator()(const std::vector<Endpoint>* endpoints) const {
    std::vector<std::string> texts;
    texts.reserve(endpoints->size());
    for (const Endpoint& endpoint : *endpoints) {
      texts.push_back(Quote(ToString(endpoint)));
    }
    return Join(texts);
  }
  std::string operator()(const std::vector<std::string>* names) const {
    std::vector<std::string> texts;
    texts.reserve(names->size());
    for (const std::string& name : *names) texts.push_back(Quote(name));
    return Join(texts);
  }
  std::string operator()(const std::vector<TenantLimit>* tenants) const {
    std::vector<std::string> texts;
    texts.reserve(tenants->size());
    for (const TenantLimit& tenant : *tenants) {
      texts.push_back(FormatTenant(tenant));
    }
    return Join(texts);
  }

  static std::string Join(const std::vector<std::string>& texts) {
    std::string joined = "[";
    for (const std::string& text : texts) {
      if (joined.size() > 1) joined += ", ";
      joined += text;
    }
    return joined + "]";
  }
};

struct AllowedFormatter {
  std::string range;

  std::string operator()(const std::string*) const {
    return "text of " + range + " bytes";
  }
  std::string operator()(const uint32_t*) const {
    return "a whole number from " + range;
  }
  std::string operator()(const double*) const {
    return "a number from " + range;
  }
  std::string operator()(const Millis*) const {
    return "a whole number from " + range;
  }
  std::string operator()(const bool*) const { return "true or false"; }
  std::string operator()(const std::vector<Endpoint>*) const {
    return "a list of " + range + " different addresses";
  }
  std::string operator()(const std::vector<std::string>*) const {
    return "a list of " + range + " different names";
  }
  std::string operator()(const std::vector<TenantLimit>*) const {
    return "a list of " + range + " tenants with different names";
  }
};

template <typename Owner>
std::vector<std::string> MakeRow(const FieldSpec<Owner>& field,
                                 const std::string& prefix) {
  Owner defaults;
  const FieldRef value = field.locate(defaults);
  return {prefix + field.path, field.unit,
          field.is_required ? "required" : FormatFieldValue(value),
          DescribeAllowedValues(value, field.min, field.max),
          field.description};
}

}  // namespace

const std::vector<DocumentField>& DocumentFields() {
  static const std::vector<DocumentField> fields = MakeDocumentFields();
  return fields;
}

const std::vector<TenantField>& TenantFields() {
  static const std::vector<TenantField> fields = MakeTenantFields();
  return fields;
}

std::string FormatNumber(double value) {
  char text[64];
  const std::to_chars_result end =
      std::to_chars(text, text + sizeof(text), value, std::chars_format::fixed);
  if (end.ec != std::errc()) return std::to_string(value);
  return std::string(text, end.ptr);
}

std::string FormatFieldValue(const FieldRef& value) {
  return std::visit(ValueFormatter{}, value);
}

std::string DescribeAllowedValues(const FieldRef& value, double min,
                                  double max) {
  const std::string range = FormatNumber(min) + " to " + FormatNumber(max);
  return std::visit(AllowedFormatter{range}, value);
}

std::vector<std::string> DocumentationRow(const DocumentField& field) {
  return MakeRow(field, "");
}

std::vector<std::string> DocumentationRow(const TenantField& field) {
  return MakeRow(field, "limits.tenants[].");
}

}  // namespace medlarwinch
