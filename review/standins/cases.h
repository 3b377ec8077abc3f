#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "deployment.h"
#include "medlarwinch/state/result.h"
#include "record.h"

namespace medlarwinch::review {

struct CaseContext {
  boost::asio::io_context& loop;
  Deployment& deployment;
  Record& record;
};

/// Starts a case, which stops the loop at its end. Without the disruption, the
/// same deployment and consumers run undisturbed.
Result<Ok> BeginCase(const std::string& name, bool has_trouble,
                     const CaseContext& context);

}  // namespace medlarwinch::review
