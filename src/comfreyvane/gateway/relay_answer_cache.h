/// @file
/// Compressed answers to calls for changes.
#ifndef COMFREYVANE_GATEWAY_RELAY_ANSWER_CACHE_H_
#define COMFREYVANE_GATEWAY_RELAY_ANSWER_CACHE_H_

#include <array>
#include <cstddef>
#include <deque>
#include <string>

#include "comfreyvane/base/revision.h"
#include "comfreyvane/edge/relay_answer.h"
#include "comfreyvane/edge/relay_call.h"
#include "comfreyvane/edge/store_table.h"

namespace comfreyvane {

/// Encodes large answers to other hosts' calls. Many hosts get the same changes
/// at the same time, so the last answers are cached.
class RelayAnswerCache {
 public:
  /// Size of an answer from which on it is compressed.
  static constexpr std::size_t kMinBytes = std::size_t{16} * 1024;

  /// @return whether the rows of an answer are large enough to compress it.
  [[nodiscard]] static bool IsLarge(const RelayAnswer& answer);

  /// @param answer changes after the positions of the call.
  /// @return the compressed text of the answer's feeds.
  [[nodiscard]] const std::string& Encode(const RelayCall& call,
                                          const RelayAnswer& answer);

 private:
  using Positions = std::array<Revision, kStoreTables>;
  struct Entry {
    std::uint64_t era = 0;
    Positions after{};
    Positions end{};
    std::string text{};
  };
  static constexpr std::size_t kEntries = 4;

  std::deque<Entry> entries_;
};

}  // namespace comfreyvane

#endif  // COMFREYVANE_GATEWAY_RELAY_ANSWER_CACHE_H_
