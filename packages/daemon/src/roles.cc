#include "medlarwinch/daemon/roles.h"

namespace medlarwinch {

std::atomic<int> g_termination_signals{0};

}  // namespace medlarwinch
