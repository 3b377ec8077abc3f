#include "medlarwinch/daemon/roles.h"

namespace medlarwinch {

std::atomic<int> g_termination_signal_count{0};

}  // namespace medlarwinch
