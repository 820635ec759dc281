#include "ragwortdrift/tools/ctl/commands.hpp"

#include <iostream>

int main(int Argc, char **Argv) {
  const std::vector<std::string> Args(Argv + 1, Argv + Argc);
  return static_cast<int>(
      ragwortdrift::ctl::runCtl(Args, std::cout, std::cerr));
}
