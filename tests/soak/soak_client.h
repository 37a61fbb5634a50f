/// @file
/// Callers of the soak.
#ifndef TESTS_SOAK_SOAK_CLIENT_H_
#define TESTS_SOAK_SOAK_CLIENT_H_

#include <cstdint>
#include <string>

#include "comfreyvane/base/time.h"

namespace comfreyvane::soak {

/// What came of a request.
struct RequestEnd {
  std::string id;
  std::size_t host = 0;
  bool idempotent = false;
  unsigned status = 0;  ///< 0: no answer.
  bool was_sent = false;
  bool is_intact = true;  ///< The answer, if any, is whole and its own.
  TimePoint ended{};
};

/// A connection to a gateway that is kept for several requests.
class SoakClient {
 public:
  explicit SoakClient(std::uint16_t port) : port_(port) {}
  ~SoakClient() { Close(); }
  SoakClient(const SoakClient&) = delete;
  SoakClient& operator=(const SoakClient&) = delete;

  /// Sends a request and waits for its answer.
  /// @param path "/r/..." for one that is idempotent, "/w/..." for another.
  [[nodiscard]] RequestEnd Ask(const std::string& id, const std::string& path);

 private:
  [[nodiscard]] bool Connect();
  void Close();

  std::uint16_t port_;
  int socket_ = -1;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_CLIENT_H_
