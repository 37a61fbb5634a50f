#include "comfreyvane/net/caller_listener.h"

#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "support/criterion.h"
#include "support/loopback_edge.h"

namespace comfreyvane {
namespace {

using testing::LoopbackEdge;
using testing::RawClient;
using Reason = RefusalReason;
using Texts = std::vector<std::string>;

constexpr Reason kMalformed = Reason::kMalformedRequest;

struct Row {
  std::string bytes;
  std::optional<Reason> expected;  ///< Nothing: closed without an answer.
};
using Rows = std::vector<Row>;

HttpLimits SmallLimits() {
  HttpLimits limits;
  limits.header_bytes = 1024;
  limits.body_bytes = 4096;
  return limits;
}

void AddEach(const Texts& texts,
             const std::string& before,
             const std::string& after,
             Rows& rows,
             std::optional<Reason> expected = kMalformed) {
  for (const auto& text : texts)
    rows.push_back({before + text + after, expected});
}

const std::string kTail = " HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string kGet = "GET / HTTP/1.1\r\nHost: a\r\n";
const std::string kPost = "POST / HTTP/1.1\r\nHost: a\r\n";

void AddRequestLines(Rows& rows) {
  AddEach({"",      "get",   "Get",    "G T",  "TRACE", "CONNECT", "FOO",
           "PRI",   "G@T",   "GET(",   "(GET", "G\"ET", "LINK",    "LOCK",
           "MKCOL", "PURGE", "SEARCH", "COPY", "MOVE",  "PROPFIND"},
          "", " /" + kTail, rows);
  AddEach({"HTTP/1.2",  "HTTP/2.0", "HTTP/0.9", "HTTP/3.0",  "HTTP/11.1",
           "http/1.1",  "HTTP/1",   "HTTP/1.",  "HTTP/.1",   "HTTP/1.1 ",
           "HTTP/1.1x", "HTTP 1.1", "HTTP/1,1", "HTTP/-1.1", "HTTP/1.01",
           "HTTP/A.1",  "HTP/1.1",  "",         "HTTPS/1.1", "HTTP//1.1"},
          "GET / ", "\r\nHost: a\r\n\r\n", rows);
  AddEach({"", "*", "a", "http://a/", "https://a/", "/#f", "/a b", "#", "?q",
           "a:80", "\\", "/a#", ".", "%2f", "/\x80", "/\xff"},
          "GET ", kTail, rows);
}

void AddControlBytes(Rows& rows) {
  constexpr char kDelete = 0x7f;
  Texts controls{std::string(1, kDelete)};
  for (char c = 0; c < ' '; ++c) {
    if (c != '\t')
      controls.emplace_back(1, c);
  }
  AddEach(controls, kGet + "X-A: a", "b\r\n\r\n", rows);
  AddEach(controls, "GET /a", "b" + kTail, rows);
  Texts separators;
  for (const char c : std::string("()<>@,;\\\"/[]?={} "))
    separators.emplace_back(1, c);
  AddEach(separators, kGet + "X", "A: b\r\n\r\n", rows);
}

void AddFields(Rows& rows) {
  AddEach({"X-A: a\r\n b", "X-A: a\r\n\tb", " X-A: b", "\tX-A: b", "X-A : b",
           "X-A\t: b", ": b", "X-A", "Content-Length : 5",
           "Transfer-Encoding : chunked", "Transfer-Encoding: \r\n chunked",
           "X\xc3\xa9: a", "Host: b", "host: a", "Host:"},
          kGet, "\r\n\r\n", rows);
  rows.push_back({"GET / HTTP/1.1\r\n\r\n", kMalformed});
  rows.push_back({"GET / HTTP/1.1\r\nX-Host: a\r\n\r\n", kMalformed});
  rows.push_back({"\r\n\r\n", kMalformed});
}

void AddFraming(Rows& rows) {
  AddEach({"-1",
           "+5",
           "5x",
           "0x5",
           "5,5",
           "5, 5",
           "5,6",
           "5 5",
           "",
           "abc",
           "1e1",
           "5.0",
           "18446744073709551616",
           "99999999999999999999999",
           "-0",
           "--5",
           "5;",
           "5\r\nContent-Length: 5",
           "5\r\nContent-Length: 6",
           "6\r\ncontent-length: 5",
           "5\r\nContent-Length:",
           "5\r\nTransfer-Encoding: chunked",
           "5\r\nTransfer-Encoding: identity",
           "0\r\nTransfer-Encoding: gzip",
           "5\r\nX-A: b\r\ntransfer-encoding: chunked"},
          kPost + "Content-Length: ", "\r\n\r\nhello", rows);
  AddEach({"4097", "18446744073709551615"},
          kPost + "Content-Length: ", "\r\n\r\nhello", rows,
          Reason::kBodyTooLarge);
  AddEach(
      {"gzip", "identity", "chunked, chunked", "chunked, gzip", "gzip, chunked",
       "xchunked", "chunkedx", "\"chunked\"", "chunked;q=1", "", "chunked,",
       ",chunked", "identity, chunked", "chunked\r\nContent-Length: 5",
       "chunked\r\nTransfer-Encoding: chunked",
       "chunked\r\nTransfer-Encoding: identity",
       "gzip\r\nTransfer-Encoding: chunked"},
      kPost + "Transfer-Encoding: ", "\r\n\r\n5\r\nhello\r\n0\r\n\r\n", rows);
  rows.push_back(
      {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n"
       "0\r\n\r\n",
       kMalformed});
}

void AddChunks(Rows& rows) {
  const std::string head = kPost + "Transfer-Encoding: chunked\r\n\r\n";
  AddEach({"g\r\n", "-1\r\nh\r\n", "5hello\r\n", "5\nhello\r\n0\r\n\r\n",
           "\r\n", "5\r\nhelloX\r\n0\r\n\r\n", "FFFFFFFFFFFFFFFFF\r\n",
           "0x5\r\nhello\r\n0\r\n\r\n", "+5\r\nhello\r\n0\r\n\r\n", "5\r\nhell",
           "5\r\nhello\r\n", "5\r\nhello\r\n0\r\n",
           "5\r\nhello\r\n0\r\nBad Name: x\r\n\r\n", "5\r\nhello\n0\r\n\r\n"},
          head, "", rows);
  rows.push_back({head + "1001\r\n" + std::string(4097, 'x') + "\r\n",
                  Reason::kBodyTooLarge});
  rows.push_back({kPost + "Content-Length: 5\r\n\r\nhell", kMalformed});
}

void AddSizesAndEnds(Rows& rows) {
  const std::string much(2000, 'x');
  AddEach({kGet + "X-A: " + much + "\r\n\r\n", kGet + much + ": a\r\n\r\n",
           "GET /" + much + kTail, much, kGet + "X-A: " + much},
          "", "", rows, Reason::kHeaderTooLarge);
  const std::string good = kGet + "X-A: b\r\n\r\n";
  for (const std::size_t size : {1, 3, 5, 14, 15, 16, 20, 25, 33, 34})
    rows.push_back({good.substr(0, size), std::nullopt});
  rows.push_back({"\x16\x03\x01\x02", std::nullopt});
  rows.push_back({"", std::nullopt});
}

std::string StatusLineStart(Reason reason) {
  return "HTTP/1.1 " + std::to_string(HttpStatus(reason)) + " ";
}

bool IsAnswered(const Row& row, const std::string& answer) {
  if (!row.expected)
    return answer.empty();
  const std::string field = std::string(kRefusedField) + ": " +
                            std::string(Name(*row.expected)) + "\r\n";
  return answer.starts_with(StatusLineStart(*row.expected)) &&
         answer.find(field) != std::string::npos &&
         answer.find("HTTP/1.1 ", 1) == std::string::npos;
}

std::string Exchanged(const LoopbackEdge& edge, const std::string& bytes) {
  RawClient client(edge.endpoint());
  client.Send(bytes);
  client.EndInput();
  return client.ReceiveAll();
}

bool ServesGoodRequest(const LoopbackEdge& edge) {
  return Exchanged(edge, kPost + "Content-Length: 5\r\n\r\nhello")
             .find("received 5") != std::string::npos;
}

Test(caller_listener, refuses_each_malformed_request_and_goes_on) {
  Rows rows;
  AddRequestLines(rows);
  AddControlBytes(rows);
  AddFields(rows);
  AddFraming(rows);
  AddChunks(rows);
  AddSizesAndEnds(rows);
  cr_assert(rows.size() >= 200);
  const LoopbackEdge edge(SmallLimits());
  for (const Row& row : rows) {
    const std::string answer = Exchanged(edge, row.bytes);
    cr_expect(IsAnswered(row, answer), "sent: %s\ngot: %s", row.bytes.c_str(),
              answer.c_str());
    cr_expect(ServesGoodRequest(edge), "after: %s", row.bytes.c_str());
  }
}

Test(caller_listener, answers_pipelined_requests_in_order) {
  const LoopbackEdge edge(SmallLimits());
  const std::string answer = Exchanged(
      edge, kPost + "Content-Length: 5\r\n\r\nhello" + kPost +
                "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n" +
                kGet + "Connection: close\r\n\r\n" + kGet + "\r\n");
  const auto first = answer.find("received 5");
  const auto second = answer.find("received 3");
  const auto third = answer.find("received 0");
  cr_expect(first < second && second < third && third != std::string::npos);
  cr_expect(answer.find("HTTP/1.1", third) == std::string::npos);
}

Test(caller_listener, sends_continue_before_the_body_arrives) {
  const LoopbackEdge edge(SmallLimits());
  RawClient client(edge.endpoint());
  client.Send(kPost + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n");
  cr_expect(client.ReceiveUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
  client.Send("hello");
  cr_expect(client.ReceiveUntil("received 5").ends_with("received 5"));
}

// The listening socket of this process: the only descriptor that accepts.
int ListeningDescriptor() {
  const int beyond_last = dup(STDERR_FILENO);
  close(beyond_last);
  for (int descriptor = 0; descriptor < beyond_last; ++descriptor) {
    int is_listening = 0;
    socklen_t size = sizeof(is_listening);
    if (getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &is_listening,
                   &size) == 0 &&
        is_listening != 0)
      return descriptor;
  }
  return -1;
}

Test(caller_listener, an_accept_that_fails_is_repeated_without_a_pause) {
  asio::io_context io(1);
  TimeoutSweeper sweeper(io);
  testing::CountingHandler handler;
  CallerListener<testing::CountingHandler> listener(
      io, {asio::ip::address_v4::loopback(), 0}, PortSharing::kExclusive,
      nullptr, sweeper, SmallLimits(), handler);
  const int descriptor = ListeningDescriptor();
  cr_assert(descriptor >= 0);
  // Each accept fails at once until the socket listens again.
  cr_assert(shutdown(descriptor, SHUT_RD) == 0);
  listener.Start();
  const std::size_t handled = io.run_for(std::chrono::milliseconds(300));
  cr_expect(handled > 3, "%zu handlers", handled);
  cr_expect(handled < 100, "%zu handlers", handled);
  cr_assert(listen(descriptor, SOMAXCONN) == 0);
  const RawClient client(listener.local_endpoint());
  io.run_for(std::chrono::milliseconds(300));
  cr_expect(listener.connections() == 1);
}

// The undefined behaviour sanitizer opens a pipe to look at an object's type
// and reports a bad type if it cannot.
#ifndef __SANITIZE_ADDRESS__
Test(caller_listener,
     an_accept_for_lack_of_descriptors_is_repeated_without_a_pause) {
  asio::io_context io(1);
  TimeoutSweeper sweeper(io);
  testing::CountingHandler handler;
  CallerListener<testing::CountingHandler> listener(
      io, {asio::ip::address_v4::loopback(), 0}, PortSharing::kExclusive,
      nullptr, sweeper, SmallLimits(), handler);
  listener.Start();
  const RawClient client(listener.local_endpoint());
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int next_descriptor = dup(STDERR_FILENO);
  close(next_descriptor);
  rlimit none_left = before;
  none_left.rlim_cur = static_cast<rlim_t>(next_descriptor);
  setrlimit(RLIMIT_NOFILE, &none_left);
  const std::size_t handled = io.run_for(std::chrono::milliseconds(300));
  setrlimit(RLIMIT_NOFILE, &before);
  cr_expect(listener.connections() == 0);
  cr_expect(handled < 100, "%zu handlers", handled);
  io.run_for(std::chrono::milliseconds(300));
  cr_expect(listener.connections() == 1);
}
#endif

Test(caller_listener, refuses_a_slow_sender) {
  HttpLimits limits = SmallLimits();
  limits.header_timeout = std::chrono::milliseconds(1);
  limits.progress_timeout = std::chrono::milliseconds(1);
  const LoopbackEdge edge(limits);
  const std::string whole = kGet + "\r\n";
  const Texts beginnings{"GET /", kPost + "Content-Length: 5\r\n\r\nhe",
                         whole + "GET /"};
  for (const std::string& beginning : beginnings) {
    RawClient client(edge.endpoint());
    client.Send(beginning);
    cr_expect(client.ReceiveAll().find(StatusLineStart(Reason::kSlowCaller)) !=
                  std::string::npos,
              "sent: %s", beginning.c_str());
  }
}

}  // namespace
}  // namespace comfreyvane
