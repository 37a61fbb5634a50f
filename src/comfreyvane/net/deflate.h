/// @file
/// Compression of messages between hosts.
#ifndef COMFREYVANE_NET_DEFLATE_H_
#define COMFREYVANE_NET_DEFLATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace comfreyvane {

/// @return the text as a raw deflate stream.
[[nodiscard]] std::string Deflate(std::string_view text);

/// @param max_bytes size limit of the text.
/// @return the text of a raw deflate stream; nothing if the stream is
///     malformed or its text is larger.
[[nodiscard]] std::optional<std::string> Inflate(std::string_view stream,
                                                 std::size_t max_bytes);

}  // namespace comfreyvane

#endif  // COMFREYVANE_NET_DEFLATE_H_
