// Input: status and era of a response on the first line, then its body, which
// is decoded as the response to each kind of call.
#include "fuzz_input.h"
#include "medlarwinch/node/agent_registration.h"
#include "medlarwinch/platform/configuration_decoder.h"
#include "medlarwinch/platform/store_responses.h"

namespace medlarwinch {
namespace {

void CheckObject(const StoredObject& object, const std::string& body) {
  Require(!object.name.empty(), "an object has a name");
  Require(body.find(object.content) != std::string::npos,
          "the content of an object is a part of the body");
  platform::DecodeConfiguration(object.content);
  DecodeAgentEntry(object);
}

}  // namespace
}  // namespace medlarwinch

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace medlarwinch;  // NOLINT(google-build-using-namespace)
  const auto [line, body] = SplitFirstLine(ToText(data, size));
  HttpResponse response;
  response.status = static_cast<int>(std::strtol(line.c_str(), nullptr, 10));
  response.body = body;
  const size_t space = line.find(' ');
  if (space != std::string::npos) {
    response.headers["store-era"] = line.substr(space + 1);
  }
  const Result<platform::ListingPage> page =
      platform::DecodeListingPage(response);
  if (IsOk(page)) {
    const ObjectListing& listing = ValueOf(page).listing;
    Require(!ValueOf(page).has_more || !ValueOf(page).last_name.empty(),
            "a page that has more ends with a name");
    for (const StoredObject& object : listing.objects) {
      Require(object.revision.era == listing.revision.era,
              "the objects of a listing are of its era");
      CheckObject(object, body);
    }
  }
  const Result<ObjectChanges> changes = platform::DecodeChanges(response);
  if (IsOk(changes)) {
    for (const ObjectChange& change : ValueOf(changes).changes) {
      CheckObject(change.object, body);
    }
  }
  const Result<StoredObject> object = platform::DecodeObject(response);
  if (IsOk(object)) CheckObject(ValueOf(object), body);
  platform::DecodeRemoval(response);
  return 0;
}
