#include "soak/soak_request.h"

namespace comfreyvane::soak {
namespace {

std::string MethodText(Method method) {
  switch (method) {
    case Method::kGet:
      return "GET";
    case Method::kHead:
      return "HEAD";
    case Method::kPost:
      break;
  }
  return "POST";
}

std::string Milliseconds(Duration span) {
  return std::to_string(span / std::chrono::milliseconds(1));
}

std::string TargetOf(const SoakRequest& request) {
  const bool is_idempotent = request.is_idempotent();
  const char* const prefix = request.is_route_bound
                                 ? (is_idempotent ? "/bound/" : "/keep/")
                                 : (is_idempotent ? "/reads/" : "/writes/");
  return prefix + Milliseconds(request.work);
}

/// @return the size in hexadecimal digits.
std::string Hexadecimal(std::size_t size) {
  std::string digits;
  do {
    digits.insert(digits.begin(), "0123456789abcdef"[size % 16]);
    size /= 16;
  } while (size > 0);
  return digits;
}

}  // namespace

std::string SoakRequest::Summary() const {
  return MethodText(method) + " " + TargetOf(*this) + " " + workspace();
}

std::string SoakRequest::Text() const {
  std::string text =
      MethodText(method) + " " + TargetOf(*this) +
      " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + workspace() +
      "-key\r\nX-Request-Id: " + id + "\r\nX-Sent-As: " + Summary() +
      "\r\nX-Deadline-Ms: " + Milliseconds(deadline) +
      "\r\nCookie: X-Affinity-Key=" +
      std::to_string(id.size() + static_cast<unsigned char>(id.back())) +
      "\r\n";
  if (method != Method::kPost)
    return text + "\r\n";
  std::string body;
  for (std::size_t i = 0; i < body_repeats; ++i)
    body += id;
  if (!is_chunked)
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
  return text + "Transfer-Encoding: chunked\r\n\r\n" +
         Hexadecimal(body.size()) + "\r\n" + body + "\r\n0\r\n\r\n";
}

}  // namespace comfreyvane::soak
