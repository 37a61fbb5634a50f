/// @file
/// The operator's command line.
#include <iostream>

#include "comfreyvane/ctl/run.h"

int main(int argc, char** argv) {
  namespace ctl = comfreyvane::ctl;
  return static_cast<int>(ctl::Run({argv + 1, argv + argc}, std::cout,
                                   std::cerr, ctl::ExchangeOverHttp));
}
