#pragma once

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <sstream>
#include <utility>

namespace medlarwinch {

/// Checks a RapidCheck property with a fixed seed, so that every run uses the
/// same inputs and a failure can be reproduced.
template <typename Property>
void CheckSeeded(Property&& property, int runs = 200) {
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = runs;
  rc::detail::TestMetadata metadata;
  metadata.id = boost::unit_test::framework::current_test_case().full_name();
  const rc::detail::TestResult result = rc::detail::checkTestable(
      std::forward<Property>(property), metadata, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  BOOST_CHECK_MESSAGE(result.template is<rc::detail::SuccessResult>(),
                      message.str());
}

}  // namespace medlarwinch
