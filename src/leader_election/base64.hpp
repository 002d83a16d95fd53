// Base64 (RFC 4648), in which the store gives values: Boost's iterators, with padding and errors handled.
#pragma once

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace wingslip::leader_election {

inline std::string toBase64(std::string_view bytes) {
  using namespace boost::archive::iterators;
  using Encode = base64_from_binary<transform_width<const char*, 6, 8>>;
  std::string out(Encode(bytes.data()), Encode(bytes.data() + bytes.size()));
  return out.append((3 - bytes.size() % 3) % 3, '=');
}

// None: not Base64.
inline std::optional<std::string> fromBase64(std::string_view text) {
  using namespace boost::archive::iterators;
  using Decode = transform_width<binary_from_base64<const char*>, 8, 6>;
  if (text.size() % 4 != 0) return std::nullopt;
  while (!text.empty() && text.back() == '=') text.remove_suffix(1);
  if (text.size() % 4 == 1) return std::nullopt;
  try {
    std::string out;
    out.reserve(text.size() * 3 / 4);
    Decode at(text.data());
    for (std::size_t i = 0; i < text.size() * 6 / 8; ++i, ++at) out += *at;
    return out;
  } catch (const dataflow_exception&) {
    return std::nullopt;
  }
}

}  // namespace wingslip::leader_election
