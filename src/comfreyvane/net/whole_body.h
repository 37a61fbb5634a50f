/// @file
/// Reads a small body whole.
#ifndef COMFREYVANE_NET_WHOLE_BODY_H_
#define COMFREYVANE_NET_WHOLE_BODY_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>

#include "comfreyvane/net/async.h"
#include "comfreyvane/net/body_chunk.h"

namespace comfreyvane {

/// @param limit most bytes to hold.
/// @return the body, or nothing if it is longer or did not arrive whole.
template <typename Exchange>
[[nodiscard]] asio::awaitable<std::optional<std::string>> ReadWholeBody(
    Exchange& exchange,
    std::size_t limit) {
  std::string body;
  std::array<char, 8192> piece;
  while (!exchange.body_done()) {
    const BodyChunk chunk = co_await exchange.ReadBody(piece);
    if (chunk.failure != ExchangeFailure::kNone)
      co_return std::nullopt;
    body.append(piece.data(), chunk.size);
    if (body.size() > limit)
      co_return std::nullopt;
  }
  co_return body;
}

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_WHOLE_BODY_H_
