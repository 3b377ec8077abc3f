#include "medlarwinch/cli/report_json.h"

namespace medlarwinch {

nlohmann::json ToJson(const FieldChange& change) {
  return {{"path", change.path},
          {"before", change.before},
          {"after", change.after}};
}

nlohmann::json ToJson(const ChangeRefusal& refusal) {
  return {{"path", refusal.path}, {"message", refusal.message}};
}

}  // namespace medlarwinch
