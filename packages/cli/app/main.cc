#include <iostream>

#include "medlarwinch/cli/command_line.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return medlarwinch::RunCommandLine(arguments, std::cout, std::cerr);
}
