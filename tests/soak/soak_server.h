/// @file
/// A backend server of the soak.
#ifndef TESTS_SOAK_SOAK_SERVER_H_
#define TESTS_SOAK_SOAK_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "comfreyvane/base/random_source.h"
#include "comfreyvane/net/async.h"
#include "soak/run_record.h"

namespace comfreyvane::soak {

/// How a server treats a request.
enum class Conduct : std::uint8_t {
  kServe,
  kShed,
  kBreakOff,
  kFail,        ///< An error of its own.
  kTruncate,    ///< Closes within the body.
  kGarble,      ///< Bytes that are no answer.
  kAppend,      ///< A second answer at once.
  kAppendLate,  ///< A second answer where the next is due.
  kEndlessInterim,
  kEndlessField,
  kEndlessBody,
};

/// How a good answer is framed.
enum class Framing : std::uint8_t { kLength, kChunked, kUntilClose, kClosing };

/// Runs requests as the platform's pages describe it: some slots and a queue,
/// a deadline, an identity that callers must expect. Some requests go wrong.
/// Used by one thread.
class SoakServer {
 public:
  static constexpr int kLeastSlots = 8;

  SoakServer(asio::io_context& io,
             std::string region,
             std::uint64_t seed,
             RunRecord& record);
  SoakServer(const SoakServer&) = delete;
  SoakServer& operator=(const SoakServer&) = delete;

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }
  [[nodiscard]] const std::string& name() const { return name_; }
  [[nodiscard]] bool is_up() const { return is_up_; }
  [[nodiscard]] bool is_leaving() const { return left_at_.has_value(); }

  /// Begins a run under a name.
  void Start(std::string name);
  /// Notes that the store has accepted that it leaves.
  void Leave();
  /// Ends the run: resets all connections, and new ones until the next start.
  void Stop();

  /// @param slots requests that run at once; three times as many may wait.
  void SetSlots(int slots) { slots_ = slots; }
  /// @param part of the requests that go wrong, 0 to 1.
  void SetFaults(double part) { faults_ = part; }
  /// Uses all that the platform allows.
  void SetOdd() { is_odd_ = true; }
  /// @param limit requests/s that it names in its answers; nothing for none.
  void NameLimit(std::optional<double> limit);

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  struct Peer {
    explicit Peer(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  asio::awaitable<void> Accept();
  asio::awaitable<void> Serve(PeerPtr peer);
  /// @return whether the connection goes on.
  asio::awaitable<bool> Handle(Peer& peer, Parser& parser);
  asio::awaitable<bool> Run(Peer& peer, Parser& parser, std::string id);
  asio::awaitable<bool> Answer(Peer& peer, Conduct conduct, std::string id);
  asio::awaitable<bool> Spoil(Peer& peer, Conduct conduct, std::string id);
  asio::awaitable<bool> Flood(Peer& peer, Conduct conduct, std::string id);
  asio::awaitable<bool> Write(Peer& peer, std::string text);
  asio::awaitable<void> Wait(Duration span);
  /// @return whether a slot became free in time.
  asio::awaitable<bool> WaitForSlot(TimePoint expiry);

  [[nodiscard]] Conduct DrawConduct();
  /// @return the head of an answer, which names the limit from now on.
  [[nodiscard]] std::string HeadOf(const std::string& status,
                                   const std::string& id);
  /// @return a whole answer of the server.
  [[nodiscard]] std::string Whole(const std::string& status,
                                  const std::string& id,
                                  const std::string& body,
                                  bool is_head);
  [[nodiscard]] std::string Refusal(const std::string& status,
                                    const std::string& id) const;
  void NoteArrival(const std::string& id);
  void NoteRun(const Parser& parser, const std::string& id);
  void NoteSpoilt(const std::string& id);
  void CheckBody(const Parser& parser, const std::string& id);

  asio::io_context& io_;
  std::string region_;
  RandomSource random_;
  RunRecord& record_;
  tcp::acceptor acceptor_;
  std::string name_;
  bool is_up_ = false;
  std::optional<TimePoint> left_at_;
  double faults_ = 0.0;
  bool is_odd_ = false;
  std::optional<double> limit_;
  std::size_t limited_span_ = 0;  ///< Place in the record.
  int slots_ = kLeastSlots;
  int running_ = 0;
  int waiting_ = 0;
  std::list<PeerPtr> peers_;
};

}  // namespace comfreyvane::soak

#endif  // TESTS_SOAK_SOAK_SERVER_H_
