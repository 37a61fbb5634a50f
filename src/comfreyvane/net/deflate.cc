#include "comfreyvane/net/deflate.h"

#include <algorithm>
#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

#include "comfreyvane/net/async.h"

namespace comfreyvane {
namespace {

namespace zlib = boost::beast::zlib;

/// The fastest level: higher ones save little on configurations.
constexpr int kLevel = 1;
constexpr int kWindowBits = 15;
constexpr int kMemoryLevel = 8;
constexpr std::size_t kChunkBytes = 64 * 1024;

}  // namespace

std::string Deflate(std::string_view text) {
  zlib::deflate_stream stream;
  stream.reset(kLevel, kWindowBits, kMemoryLevel, zlib::Strategy::normal);
  std::string out(stream.upper_bound(text.size()), '\0');
  zlib::z_params params;
  params.next_in = text.data();
  params.avail_in = text.size();
  params.next_out = out.data();
  params.avail_out = out.size();
  error_code error;
  // Ends with zlib::error::end_of_stream, since the output has room for all.
  stream.write(params, zlib::Flush::finish, error);
  out.resize(params.total_out);
  return out;
}

std::optional<std::string> Inflate(std::string_view stream,
                                   std::size_t max_bytes) {
  zlib::inflate_stream inflate;
  zlib::z_params params;
  params.next_in = stream.data();
  params.avail_in = stream.size();
  std::string out;
  while (out.size() < max_bytes) {
    const std::size_t before = out.size();
    out.resize(std::min(max_bytes, before + kChunkBytes));
    params.next_out = out.data() + before;
    params.avail_out = out.size() - before;
    error_code error;
    inflate.write(params, zlib::Flush::sync, error);
    out.resize(out.size() - params.avail_out);
    if (error == zlib::error::end_of_stream)
      return out;
    if (error || out.size() == before)
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace comfreyvane
