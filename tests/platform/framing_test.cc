/// @file
/// Random forms of requests and answers between a strict caller and a strict
/// server.
#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "comfreyvane/base/hash.h"
#include "comfreyvane/base/random_source.h"
#include "platform/deployment.h"
#include "support/criterion.h"
#include "support/strict_reader.h"

using namespace comfreyvane;
using namespace comfreyvane::testing;

namespace {

constexpr int kRequests = 600;
constexpr std::uint64_t kSeed = 20261205;

/// @return the seed of the run: kSeed, unless FRAMING_SEED names another.
std::uint64_t Seed() {
  const char* const text = std::getenv("FRAMING_SEED");
  return text == nullptr ? kSeed : std::stoull(text);
}

std::string RandomBytes(RandomSource& random, std::size_t size) {
  std::string bytes;
  for (std::size_t i = 0; i < size; ++i)
    bytes.push_back(static_cast<char>(random.Below(256)));
  return bytes;
}

template <typename Value>
Value OneOf(RandomSource& random, const std::vector<Value>& values) {
  return values[random.Below(values.size())];
}

/// @return a body in chunks of random sizes.
std::string Chunked(RandomSource& random,
                    std::string_view body,
                    bool has_extensions) {
  std::string text;
  while (!body.empty()) {
    const std::size_t size = 1 + random.Below(body.size());
    std::array<char, 32> number{};
    std::snprintf(number.data(), number.size(),
                  random.Below(2) == 0 ? "%zx" : "0%zX", size);
    text += number.data();
    text += has_extensions && random.Below(3) == 0 ? ";a=b\r\n" : "\r\n";
    text += body.substr(0, size);
    text += "\r\n";
    body.remove_prefix(size);
  }
  text += "0\r\n";
  if (has_extensions && random.Below(3) == 0)
    text += "X-Trailer: a\r\n";
  return text + "\r\n";
}

/// What a server does with the request of an id; the same whenever it is asked.
struct AnswerForm {
  AnswerForm(std::uint64_t seed, const std::string& id) {
    RandomSource random(HashPair(seed, HashBytes(id)));
    status = OneOf<std::string>(
        random, {"200", "200", "200", "200", "200", "200", "200", "201", "204",
                 "304", "404", "200", "200", "200", "200", "200", "500", "200",
                 "200", "200", "200", "200", "200", "200", "099", "000", "600",
                 "999", "200", "200", "200", "200", "200", "200"});
    body = RandomBytes(
        random, OneOf<std::size_t>(random, {0, 1, 2, 50, 5000, 300'000}));
    framing = static_cast<Framing>(random.Below(3));
    if (status == "204" || status == "304")
      body.clear();
    for (auto i = random.Below(8); i >= 5; --i)
      interim += OneOf<std::string>(
          random, {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 \r\n\r\n",
                   "HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\n"});
    says_close = random.Below(8) == 0;
    if (random.Below(10) == 0)
      behind = OneOf<std::string>(random, {"x", "\r\n", "HTTP/1.1 200 OK\r\n"});
    is_cut = !body.empty() && random.Below(20) == 0;
    is_split = random.Below(4) == 0;
    shape = random.Below(1 << 30);
  }

  [[nodiscard]] bool IsBodiless() const {
    return status == "204" || status == "304";
  }

  /// @return the bytes of the answer.
  [[nodiscard]] std::string Text(const std::string& id, bool to_head) const {
    RandomSource random(shape);
    std::string text = interim + "HTTP/1.1 " + status + " Any\r\n" +
                       "X-Request-Id: " + id + "\r\nX-Server-Seal: seal\r\n";
    if (Closes())
      text += "Connection: close\r\n";
    const bool has_body = !to_head && !IsBodiless();
    const bool has_length =
        framing == Framing::kLength && (!IsBodiless() || status == "304");
    if (has_length)
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (framing == Framing::kChunked && !IsBodiless())
      text += "Transfer-Encoding: chunked\r\n";
    text += "\r\n";
    if (!has_body)
      return text + behind;
    std::string payload =
        framing == Framing::kChunked ? Chunked(random, body, true) : body;
    if (IsCut())
      return text + payload.substr(0, payload.size() / 2);
    return text + payload + (framing == Framing::kToEnd ? "" : behind);
  }

  /// A body that ends with its connection cannot be told from one that is cut.
  [[nodiscard]] bool IsCut() const {
    return is_cut && framing != Framing::kToEnd;
  }
  [[nodiscard]] bool Closes() const {
    return says_close || framing == Framing::kToEnd;
  }

  enum class Framing { kLength, kChunked, kToEnd };
  Framing framing{};
  std::string status;
  std::string body;
  std::string interim;
  std::string behind;
  bool says_close = false;
  bool is_cut = false;
  bool is_split = false;
  std::uint64_t shape = 0;
};

/// A request of a strict caller.
struct RequestForm {
  RequestForm(std::uint64_t seed, const std::string& request_id)
      : id(request_id) {
    RandomSource random(HashPair(seed + 1, HashBytes(id)));
    method = OneOf<std::string>(random, {"GET", "GET", "HEAD", "HEAD", "POST",
                                         "PUT", "DELETE", "PATCH", "OPTIONS"});
    target = OneOf<std::string>(
        random, {"/r/a", "/r/a?b=c", "/w/a", "/w/%20", "/r/", "/none/a"});
    key = random.Below(12) == 0 ? "unknown" : "k1";
    has_body = method != "GET" && method != "HEAD" && random.Below(4) > 0;
    if (has_body)
      body =
          RandomBytes(random, OneOf<std::size_t>(random, {0, 1, 30, 20'000}));
    is_chunked = has_body && random.Below(2) == 0;
    is_http10 = !is_chunked && random.Below(6) == 0;
    expects_continue = has_body && random.Below(6) == 0;
    says_close = random.Below(8) == 0;
    shape = random.Below(1 << 30);
  }

  [[nodiscard]] bool IsHead() const { return method == "HEAD"; }
  [[nodiscard]] bool IsRepeatable() const { return target[1] == 'r'; }

  [[nodiscard]] std::string Text() const {
    RandomSource random(shape);
    std::string text =
        method + " " + target + (is_http10 ? " HTTP/1.0" : " HTTP/1.1") +
        "\r\nHost: h\r\nX-Request-Id: " + id +
        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer " + key + "\r\n";
    if (says_close)
      text += "Connection: close\r\n";
    else if (is_http10)
      text += "Connection: keep-alive\r\n";
    if (expects_continue)
      text += "Expect: 100-continue\r\n";
    if (is_chunked)
      return text + "Transfer-Encoding: chunked\r\n\r\n" +
             Chunked(random, body, true);
    if (has_body)
      text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
  }

  std::string id;
  std::string method;
  std::string target;
  std::string key;
  std::string body;
  bool has_body = false;
  bool is_chunked = false;
  bool is_http10 = false;
  bool expects_continue = false;
  bool says_close = false;
  std::uint64_t shape = 0;
};

/// Receives within a time that is far beyond any answer's.
std::string Receive(int descriptor) {
  std::array<char, 16384> bytes;
  pollfd ready{descriptor, POLLIN, 0};
  constexpr int kGuardMs = 5000;
  if (poll(&ready, 1, kGuardMs) <= 0)
    return {};
  const auto size = recv(descriptor, bytes.data(), bytes.size(), 0);
  return size <= 0 ? std::string()
                   : std::string(bytes.data(), static_cast<std::size_t>(size));
}

/// A server that reads strictly and answers in random forms.
class StrictServer {
 public:
  explicit StrictServer(std::uint64_t seed)
      : seed_(seed),
        acceptor_(io_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Accept(); }) {}
  ~StrictServer() {
    shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    for (std::thread& connection : connections_)
      connection.join();
  }
  StrictServer(const StrictServer&) = delete;
  StrictServer& operator=(const StrictServer&) = delete;

  [[nodiscard]] std::uint16_t port() const {
    return acceptor_.local_endpoint().port();
  }
  [[nodiscard]] std::vector<std::string> faults() {
    const std::lock_guard lock(mutex_);
    return faults_;
  }

 private:
  void Accept() {
    while (true) {
      error_code error;
      tcp::socket socket(io_);
      acceptor_.accept(socket, error);
      if (error)
        return;
      connections_.emplace_back(
          [this, held = std::move(socket)]() mutable { Serve(held); });
    }
  }

  void Serve(tcp::socket& socket) {
    constexpr timeval kIdle{10, 0};
    const int descriptor = socket.native_handle();
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &kIdle, sizeof(kIdle));
    StrictReader reader([descriptor] {
      std::array<char, 16384> bytes;
      const auto size = recv(descriptor, bytes.data(), bytes.size(), 0);
      return size <= 0
                 ? std::string()
                 : std::string(bytes.data(), static_cast<std::size_t>(size));
    });
    while (const auto request = reader.ReadRequest()) {
      if (!Answer(descriptor, *request))
        break;
    }
    if (!reader.fault().empty())
      Report(reader.fault());
  }

  bool Answer(int descriptor, const StrictMessage& request) {
    const std::string id = request.At("X-Request-Id");
    if (id.starts_with("probe") || request.start_line.starts_with("GET /heal"))
      return Write(descriptor,
                   "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\n"
                   "Content-Length: 0\r\nX-Request-Id: " +
                       id + "\r\n\r\n");
    Check(request, RequestForm(seed_, id));
    const AnswerForm form(seed_, id);
    const bool to_head = request.start_line.starts_with("HEAD ");
    const std::string text = form.Text(id, to_head);
    const std::size_t half = form.is_split ? text.size() / 2 : text.size();
    bool is_open = Write(descriptor, text.substr(0, half));
    if (form.is_split) {
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
      is_open = is_open && Write(descriptor, text.substr(half));
    }
    return is_open && !form.Closes() && (to_head || !form.IsCut());
  }

  void Check(const StrictMessage& request, const RequestForm& form) {
    const std::string line = form.method + ' ' + form.target + " HTTP/1.1";
    if (request.start_line != line)
      Report(request.start_line + " in place of " + line);
    if (request.body != form.body)
      Report("another body of " + form.id);
    for (const char* name :
         {"X-Request-Id", "X-Deadline-Ms", "X-Tenant", "X-Expect-Instance"}) {
      if (request.Count(name) != 1)
        Report("not one " + std::string(name) + " of " + form.id);
    }
    if (request.Count("Authorization") + request.Count("Expect") > 0)
      Report("a field of the caller's connection in " + form.id);
    const std::lock_guard lock(mutex_);
    if (++runs_[form.id] > 1 && !form.IsRepeatable())
      faults_.push_back(form.id + " ran twice");
  }

  void Report(const std::string& fault) {
    const std::lock_guard lock(mutex_);
    faults_.push_back(fault);
  }

  static bool Write(int descriptor, std::string_view bytes) {
    while (!bytes.empty()) {
      const auto size =
          send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
      if (size <= 0)
        return false;
      bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
  }

  std::uint64_t seed_;
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::mutex mutex_;
  std::vector<std::string> faults_;
  std::map<std::string, int> runs_;
  std::vector<std::thread> connections_;
  std::thread thread_;
};

/// A caller that keeps its connection as long as the answers say so.
class StrictCaller {
 public:
  StrictCaller(const Endpoint& gateway, std::uint64_t seed)
      : gateway_(asio::ip::make_address(gateway.address), gateway.port),
        seed_(seed),
        random_(seed + 2) {}

  /// Sends requests, some of them at once, and reads their answers.
  void Run() {
    for (int next = 0; next < kRequests && fault_.empty();) {
      if (!socket_)
        Connect();
      std::vector<RequestForm> batch;
      do
        batch.emplace_back(seed_, "q" + std::to_string(next++));
      while (random_.Below(3) == 0 && MayFollow(batch.back()));
      std::string text;
      for (const RequestForm& form : batch)
        text += form.Text();
      error_code ignored;
      asio::write(*socket_, asio::buffer(text), ignored);
      for (const RequestForm& form : batch) {
        if (!socket_ || !fault_.empty())
          break;
        ReadAnswerTo(form);
      }
    }
  }

  [[nodiscard]] const std::string& fault() const { return fault_; }
  [[nodiscard]] int served() const { return served_; }

 private:
  [[nodiscard]] static bool MayFollow(const RequestForm& form) {
    return form.IsRepeatable() && !form.says_close;
  }

  void Connect() {
    socket_.emplace(io_);
    socket_->connect(gateway_);
    reader_.emplace([descriptor = socket_->native_handle()] {
      return Receive(descriptor);
    });
  }

  void Close() {
    reader_.reset();
    socket_.reset();
  }

  void ReadAnswerTo(const RequestForm& form) {
    std::optional<StrictMessage> answer = reader_->ReadAnswer(form.IsHead());
    while (answer && answer->Status() / 100 == 1) {
      const bool is_wanted =
          answer->Status() == 100 && form.expects_continue && !form.is_http10;
      if (!is_wanted)
        return Fail(form, "interim answer " + answer->start_line);
      answer = reader_->ReadAnswer(form.IsHead());
    }
    if (!answer)
      return OnBroken(form);
    Check(form, *answer);
    if (!answer->IsLast())
      return;
    if (!reader_->AtEnd())
      Fail(form, "bytes behind the last answer");
    Close();
  }

  /// A long answer that breaks off at the server breaks off here too, and so
  /// does an answer to a caller that is told the end by the close.
  void OnBroken(const RequestForm& form) {
    const AnswerForm sent(seed_, form.id);
    constexpr std::size_t kStreamedBytes = 256 * 1024;
    if (sent.IsCut() && sent.body.size() > kStreamedBytes)
      return Close();
    Fail(form, "no whole answer: " + reader_->fault());
  }

  void Check(const RequestForm& form, const StrictMessage& answer) {
    if (answer.At("X-Request-Id") != form.id)
      return Fail(form, "answer to " + answer.At("X-Request-Id"));
    if (answer.Count("X-Server-Seal") == 0) {
      if (answer.Status() < 400)
        Fail(form, "no seal");
      return;
    }
    ++served_;
    const AnswerForm sent(seed_, form.id);
    if (std::to_string(answer.Status()) != sent.status)
      return Fail(form, "status " + std::to_string(answer.Status()));
    if (!form.IsHead() && answer.body != sent.body)
      return Fail(form, "another body");
    if (answer.Count("Content-Length") > 0 &&
        answer.At("Content-Length") != std::to_string(sent.body.size()))
      return Fail(form, "length " + answer.At("Content-Length"));
  }

  void Fail(const RequestForm& form, const std::string& fault) {
    const AnswerForm sent(seed_, form.id);
    fault_ = form.id + ' ' + form.method + ' ' + form.target + " answered " +
             sent.status + " with " + std::to_string(sent.body.size()) +
             " bytes, form " + std::to_string(static_cast<int>(sent.framing)) +
             ": " + fault;
  }

  asio::io_context io_;
  tcp::endpoint gateway_;
  std::uint64_t seed_;
  RandomSource random_;
  std::optional<tcp::socket> socket_;
  std::optional<StrictReader> reader_;
  std::string fault_;
  int served_ = 0;
};

}  // namespace

Test(framing, random_forms_are_read_alike_by_all, .timeout = 120) {
  const std::uint64_t seed = Seed();
  StrictServer first(seed);
  StrictServer second(seed);
  Deployment deployment;
  deployment.OnStandins([&] {
    deployment.store.Delete("servers", "i-1");
    deployment.store.Delete("servers", "i-2");
    deployment.store.Put("servers", "i-3", EntryAt(first.port()));
    deployment.store.Put("servers", "i-4", EntryAt(second.port()));
  });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  StrictCaller caller(deployment.settings().callers, seed);
  caller.Run();
  cr_expect(caller.fault().empty(), "seed %ju: %s",
            static_cast<std::uintmax_t>(seed), caller.fault().c_str());
  for (StrictServer* server : {&first, &second}) {
    for (const std::string& fault : server->faults())
      cr_expect(false, "server, seed %ju: %s",
                static_cast<std::uintmax_t>(seed), fault.c_str());
  }
  cr_expect(caller.fault().size() > 0 || caller.served() > kRequests / 3,
            "%d served", caller.served());
}
