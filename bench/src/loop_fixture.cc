#include "medlarwinch/bench/loop_fixture.h"

#include <utility>

#include "medlarwinch/bench/control_fixture.h"
#include "medlarwinch/protocol/document_parser.h"

namespace medlarwinch {
namespace {

Record MakeDocument(uint32_t number) {
  ServiceDocument document;
  document.service = "service-" + std::to_string(number);
  document.owner = "team";
  document.addresses = {Endpoint{0x0b000000 + number, 443},
                        Endpoint{0x0c000000 + number, 443}};
  return Record{kDocumentPrefix + document.service, 7,
                FormatServiceDocument(document)};
}

}  // namespace

LoopFixture::LoopFixture(uint32_t documents) {
  const ControlFixture region(kRegionBalancers, kRegionAgents, 0);
  ControlLoopOutputs outputs;
  outputs.send = [](const Endpoint&, const ControlMessage&) {};
  outputs.fetch = [](const OutgoingFetch&) {};
  outputs.platform = [](const PlatformJob&) {};
  outputs.publish = [this](FetchSnapshot next) {
    previous_ = std::move(current_);
    current_ = std::move(next);
  };
  loop_ = MakeBalancerLoop(region.state().self, Settings{}, {}, outputs,
                           metrics_, 1, now_);
  FetchReply reply;
  for (const auto& [id, record] : region.state().table.members) {
    reply.members.push_back(record.entry);
  }
  for (uint32_t number = 0; number < documents; ++number) {
    reply.records.push_back(MakeDocument(number));
  }
  loop_->OnFetchReply(Endpoint{1, 1}, reply, now_);
  loop_->PublishIfDue(now_);
}

void LoopFixture::PublishChange() {
  now_ = now_ + Millis{1'000};
  Delta delta;
  delta.members = {view().members.rbegin()->second};
  delta.members[0].version.incarnation = ++changes_;
  loop_->OnMessage(Endpoint{1, 1}, delta, now_);
  loop_->PublishIfDue(now_);
}

}  // namespace medlarwinch
