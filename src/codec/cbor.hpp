/// Parsing of untrusted CBOR received from another process or read from a file.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace wingslip {

/// Thrown for bytes that are not valid CBOR or are nested deeper than `kMaxCborDepth`.
class CborError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Maximum nesting depth of arrays and maps in a document. The parser that builds the tree recurses once per
/// level, so a few hundred kilobytes of nested arrays would exhaust the stack.
constexpr std::size_t kMaxCborDepth = 8;

namespace detail {

/// SAX handler that rejects documents nested deeper than `kMaxCborDepth`. Builds no document.
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
  bool end_object() override { return closeContainer(); }
  bool start_array(std::size_t) override { return ++depth_ <= kMaxCborDepth; }
  bool end_array() override { return closeContainer(); }
  bool parse_error(std::size_t, const std::string&, const nlohmann::json::exception&) override {
    return false;
  }

 private:
  bool closeContainer() {
    --depth_;
    return true;
  }
  std::size_t depth_ = 0;
};

}  // namespace detail

/// Parses one CBOR document of `size` bytes.
/// @throws CborError if the bytes are not valid CBOR or are nested deeper than `kMaxCborDepth`.
inline nlohmann::json parseCbor(const std::uint8_t* bytes, std::size_t size) {
  using nlohmann::json;
  detail::DepthCheck check;
  if (!json::sax_parse(bytes, bytes + size, &check, json::input_format_t::cbor))
    throw CborError("not CBOR, or nested too deep");
  return json::from_cbor(bytes, bytes + size);
}

}  // namespace wingslip
