/// @file
/// Polling for asynchronous changes of a deployment.
#ifndef TESTS_PLATFORM_EVENTUALLY_H_
#define TESTS_PLATFORM_EVENTUALLY_H_

#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "platform/deployment.h"
#include "support/criterion.h"

namespace comfreyvane::testing {

/// Polls a condition.
/// @param tries number of checks, at intervals of 10 ms.
/// @return whether the condition became true.
inline bool Eventually(const std::function<bool()>& holds, int tries) {
  for (int i = 0; i < tries; ++i) {
    if (holds())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

/// Polls until a gateway answers reads under a path.
/// @param tries number of checks, at intervals of 10 ms.
inline bool Serves(Deployment& deployment,
                   std::size_t gateway,
                   const std::string& path,
                   int tries) {
  std::string answer;
  const bool serves = Eventually(
      [&, id = 0]() mutable {
        answer = deployment.Request(path + "ok", path + std::to_string(++id),
                                    "k1", gateway);
        return answer.starts_with("HTTP/1.1 200");
      },
      tries);
  cr_expect(serves, "gateway %zu answers: %s", gateway, answer.c_str());
  return serves;
}

}  // namespace comfreyvane::testing

#endif  // TESTS_PLATFORM_EVENTUALLY_H_
