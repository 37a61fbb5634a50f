/// @file
/// A piece of a message body.
#ifndef COMFREYVANE_NET_BODY_CHUNK_H_
#define COMFREYVANE_NET_BODY_CHUNK_H_

#include <cstddef>

#include "comfreyvane/net/exchange_failure.h"

namespace comfreyvane {

/// What one read of a body brought.
struct BodyChunk {
  std::size_t size = 0;  ///< Bytes put into the caller's buffer.
  bool last = false;     ///< The body is complete with this chunk.
  ExchangeFailure failure = ExchangeFailure::kNone;

  friend bool operator==(const BodyChunk&, const BodyChunk&) = default;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_BODY_CHUNK_H_
