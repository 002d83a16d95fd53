/// Base64 (RFC 4648) encoding and decoding: the coordination store returns values in this form.
#pragma once

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingslip::leader_election {

/// Encodes with padding.
[[nodiscard]] inline std::string toBase64(std::string_view bytes) {
  using namespace boost::archive::iterators;
  using Encode = base64_from_binary<transform_width<const char*, 6, 8>>;
  std::string out(Encode(bytes.data()), Encode(bytes.data() + bytes.size()));
  return out.append((3 - bytes.size() % 3) % 3, '=');
}

/// Decodes padded Base64. Returns `std::nullopt` if `text` is not valid Base64.
[[nodiscard]] inline std::optional<std::string> fromBase64(std::string_view text) {
  using namespace boost::archive::iterators;
  using Decode = transform_width<binary_from_base64<const char*>, 8, 6>;
  if (text.size() % 4 != 0) return std::nullopt;
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  if (text.size() % 4 == 1) return std::nullopt;
  try {
    std::string out;
    out.reserve(text.size() * 3 / 4);
    const std::size_t bytes = text.size() * 6 / 8;
    Decode byte(text.data());
    for (std::size_t i = 0; i < bytes; ++i) {
      out += *byte;
      ++byte;
    }
    return out;
  } catch (const dataflow_exception&) {
    return std::nullopt;
  }
}

}  // namespace wingslip::leader_election
