/// Reading CBOR that another process wrote.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace wingslip {

/// Bytes that are no CBOR, or nested deeper than `kMaxCborDepth`.
class CborError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// How deep arrays and maps may be nested in a message. The parser that builds a tree recurses at each level,
/// so that a few hundred kilobytes of nested arrays would exhaust the stack.
constexpr std::size_t kMaxCborDepth = 8;

namespace detail {

/// Accepts any document whose nesting stays within `kMaxCborDepth`, and builds nothing.
class DepthCheck : public nlohmann::json::json_sax_t {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return ++depth_ <= kMaxCborDepth; }
  bool key(string_t&) override { return true; }
  bool end_object() override { return leave(); }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxCborDepth; }
  bool end_array() override { return leave(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
    return false;
  }

 private:
  bool leave() {
    --depth_;
    return true;
  }
  std::size_t depth_ = 0;
};

}  // namespace detail

/// The document in `size` bytes. Throws CborError.
inline nlohmann::json parseCbor(const std::uint8_t* bytes, std::size_t size) {
  using nlohmann::json;
  detail::DepthCheck check;
  if (!json::sax_parse(bytes, bytes + size, &check, json::input_format_t::cbor))
    throw CborError("not CBOR, or nested too deep");
  return json::from_cbor(bytes, bytes + size);
}

}  // namespace wingslip
