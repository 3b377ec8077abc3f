#include "medlarwinch/coordination/packet_path/opening_admission.h"

#include <boost/test/unit_test.hpp>
#include <iostream>

#include "opening_model.h"

namespace medlarwinch {
namespace {

const RouteTerms kUnsafe{RequestKind::kUnsafe, 1, Millis{300}, Millis{2'500}};
const RouteTerms kSafe{RequestKind::kSafe, 2, Millis{300}, Millis{2'500}};
const RouteTerms kDownload{RequestKind::kDownload, 2, Millis{800},
                           Millis{4'000}};

void Print(const char* name, OpeningModel& model) {
  for (auto& [kind, o] : model.outcome)
    std::cout << name << " " << RequestKindName(kind) << " calls " << o.calls
              << " in_time " << 100.0 * o.in_time / o.calls << " late "
              << 100.0 * o.late / o.calls << " none "
              << 100.0 * (o.calls - o.in_time - o.late) / o.calls
              << " refusals " << o.refusals << " wrong " << o.wrong_refusals
              << " worth " << o.Worth() << "\n";
}

void RunBurst(OpeningModel& model, double base, double factor, int from, int to, int end) {
  const double per_ms = base * 4 * static_cast<double>(model.hosts.size());
  double due[3] = {};
  while (model.now < end + 4000) {
    const bool burst = model.now >= from && model.now < to;
    if (model.now < end) {
      due[0] += per_ms * 0.4 / 60 * (burst ? factor : 1);
      due[1] += per_ms * 0.3 / 60;
      due[2] += per_ms * 0.3 / 160;
      for (; due[0] >= 1; --due[0]) model.Add(kUnsafe, 60);
      for (; due[1] >= 1; --due[1]) model.Add(kSafe, 60);
      for (; due[2] >= 1; --due[2]) model.Add(kDownload, 160);
    }
    model.Step();
  }
}

BOOST_AUTO_TEST_SUITE(OpeningAdmissionTest)

BOOST_AUTO_TEST_CASE(Explore) {
  for (const bool by_class : {false, true}) {
    const char* n = by_class ? "new" : "old";
    OpeningModel model(12, by_class);
    RunBurst(model, 0.9, 1.8, 1000, 5000, 8000);
    Print((std::string(n) + " burst").c_str(), model);
    OpeningModel quiet(12, by_class);
    RunBurst(quiet, 0.7, 1, 0, 0, 8000);
    Print((std::string(n) + " quiet").c_str(), quiet);
    OpeningModel heavy(12, by_class);
    RunBurst(heavy, 0.9, 4, 1000, 5000, 8000);
    Print((std::string(n) + " heavy").c_str(), heavy);
    OpeningModel cold(38, by_class);
    for (auto& h : cold.hosts) h.relay.upstream.cold_until = {2000};
    for (int i = 0; i < 1500; ++i) {
      if (i % 5 < 2) cold.Add(kUnsafe, 60);
      else if (i % 5 < 4) cold.Add(kSafe, 60);
      else cold.Add(kDownload, 160);
    }
    while (cold.now < 8000) cold.Step();
    Print((std::string(n) + " cold").c_str(), cold);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace medlarwinch
