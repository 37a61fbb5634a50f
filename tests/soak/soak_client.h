/// @file
/// Callers of the soak.
#ifndef TESTS_SOAK_SOAK_CLIENT_H_
#define TESTS_SOAK_SOAK_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "comfreyvane/base/time.h"
#include "soak/answer_reader.h"
#include "soak/soak_request.h"

namespace comfreyvane::soak {

/// What came of a request.
struct RequestEnd {
  SoakRequest request;
  std::size_t host = 0;
  unsigned status = 0;         ///< 0: no whole answer.
  bool was_sent = false;       ///< With its last byte.
  bool is_intact = true;       ///< The answer, if any, is whole and its own.
  std::string foreign_bytes;   ///< That came and are no answer.
  bool is_unanswered = false;  ///< Neither answered nor closed in time.
  /// An answer to a request before it closed the connection.
  bool is_behind_close = false;
  bool is_pipelined = false;   ///< Sent behind another request.
  bool is_abandoned = false;   ///< The caller did not wait for its answer.
  bool is_own_answer = false;  ///< The host's own, not a server's.
  TimePoint sent{};
  TimePoint ended{};
};

/// A connection to a gateway that is kept for several requests.
class SoakClient {
 public:
  SoakClient(std::size_t host, std::uint16_t port) : host_(host), port_(port) {}
  ~SoakClient() { Close(); }
  SoakClient(const SoakClient&) = delete;
  SoakClient& operator=(const SoakClient&) = delete;

  [[nodiscard]] std::size_t host() const { return host_; }
  [[nodiscard]] bool is_open() const { return socket_ >= 0; }

  /// Sends a request and waits for its answer.
  [[nodiscard]] RequestEnd Ask(const SoakRequest& request);
  /// Sends requests one behind the other and waits for their answers.
  [[nodiscard]] std::vector<RequestEnd> AskAll(
      const std::vector<SoakRequest>& requests);
  /// Sends a request and closes the connection.
  [[nodiscard]] RequestEnd Abandon(const SoakRequest& request);

 private:
  [[nodiscard]] bool Connect();
  /// Closes a connection that the host has closed.
  /// @return bytes that came and that nobody asked for.
  [[nodiscard]] std::string TakeIdleBytes();
  [[nodiscard]] RequestEnd Begin(const SoakRequest& request) const;
  /// Reads until an answer is complete, the connection ends or time runs out.
  void ReadAnswer(RequestEnd& end, AnswerReader& reader);
  /// @return false if the connection has ended or time has run out.
  [[nodiscard]] bool ReadMore(RequestEnd& end,
                              TimePoint expiry,
                              AnswerReader& reader);
  void Close();

  std::size_t host_;
  std::uint16_t port_;
  int socket_ = -1;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_CLIENT_H_
